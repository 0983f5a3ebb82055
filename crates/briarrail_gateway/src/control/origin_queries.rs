//! Asks other routers where streams began.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use briarrail_dispatch::{ReleaseKey, StreamKey};
use briarrail_model::{HostName, StableHash};
use briarrail_peer::{OriginAnswer, OriginMessage};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::live_router::LiveRouter;
use super::origin_exchange::OriginExchange;
use crate::SiteStore;

/// Time after which a question that was not answered is sent again; many round trips within a site.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Number of times that a question is sent; routers that are down do not answer.
const MAX_QUESTIONS: u32 = 3;

/// Questions that wait for their answers.
#[derive(Debug, Default)]
pub(super) struct OriginQueries {
    /// Receivers of answers, by stream and number of the search.
    searches: RefCell<HashMap<(StreamKey, u64), UnboundedSender<SourceAnswer>>>,
    last_search: Cell<u64>,
}

/// Answer of another router to a question; no release if it does not know the stream.
#[derive(Debug)]
struct SourceAnswer {
    source: LiveRouter,
    release: Option<ReleaseKey>,
}

/// What other routers answered to a question.
#[derive(Debug)]
pub(super) struct SourceAnswers {
    pub(super) asked: usize,
    /// Routers that answered that they don't know the stream.
    pub(super) answered: Vec<LiveRouter>,
    pub(super) release: Option<ReleaseKey>,
}

impl<S> OriginExchange<S>
where
    S: SiteStore,
{
    /// Asks other routers where a stream began.
    pub(super) async fn ask(
        &self,
        stream: StreamKey,
        mut sources: Vec<(HostName, SocketAddr)>,
    ) -> SourceAnswers {
        let asked = sources.len();
        let search = (stream, self.queries.last_search.get() + 1);
        self.queries.last_search.set(search.1);
        let (sender, mut answers) = unbounded_channel();
        self.queries.searches.borrow_mut().insert(search, sender);
        let mut answered = Vec::new();
        let mut release = None;
        for _ in 0..MAX_QUESTIONS {
            for (source, address) in &sources {
                let message = OriginMessage::Query(stream.0.0);
                self.send(source, *address, message).await;
            }
            release = await_answers(&mut answers, &mut sources, &mut answered).await;
            if release.is_some() || sources.is_empty() {
                break;
            }
        }
        self.queries.searches.borrow_mut().remove(&search);
        SourceAnswers {
            asked,
            answered,
            release,
        }
    }

    pub(super) fn handle_answer(&self, source: &LiveRouter, answer: OriginAnswer) {
        let stream = StreamKey(StableHash(answer.stream));
        let searches = self.queries.searches.borrow();
        let receivers = searches.iter().filter(|((asked, _), _)| *asked == stream);
        for (_, receiver) in receivers {
            let answer = SourceAnswer {
                source: source.clone(),
                release: answer
                    .release
                    .map(|release| ReleaseKey(StableHash(release))),
            };
            if receiver.send(answer).is_err() {
                tracing::trace!("a search for a stream's origin has ended");
            }
        }
    }
}

/// Waits until a source knows the release, all have answered, or the time is over; removes the
/// sources that answered.
async fn await_answers(
    answers: &mut UnboundedReceiver<SourceAnswer>,
    sources: &mut Vec<(HostName, SocketAddr)>,
    answered: &mut Vec<LiveRouter>,
) -> Option<ReleaseKey> {
    let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    while !sources.is_empty() {
        let answer = tokio::time::timeout_at(deadline, answers.recv()).await;
        let Ok(Some(answer)) = answer else {
            return None;
        };
        if answer.release.is_some() {
            return answer.release;
        }
        sources.retain(|(source, _)| *source != answer.source.user.router);
        answered.push(answer.source);
    }
    None
}
