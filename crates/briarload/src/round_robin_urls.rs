//! Base URLs that calls go to.

use std::sync::{Arc, Mutex};

/// Base URLs, taken in turn; clones share them, so that they can be replaced under load.
///
/// ```
/// use briarload::RoundRobinUrls;
///
/// let ring = RoundRobinUrls::new(["http://a", "http://b"]);
/// assert_eq!(ring.next_url().as_deref(), Some("http://a"));
/// assert_eq!(ring.next_url().as_deref(), Some("http://b"));
/// ring.replace(Vec::new());
/// assert_eq!(ring.next_url(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoundRobinUrls {
    state: Arc<Mutex<RotationState>>,
}

#[derive(Debug, Default)]
struct RotationState {
    urls: Vec<String>,
    next: usize,
}

impl RoundRobinUrls {
    /// Makes a ring.
    #[must_use]
    pub fn new<I, U>(urls: I) -> Self
    where
        I: IntoIterator<Item = U>,
        U: Into<String>,
    {
        let ring = Self::default();
        ring.replace(urls.into_iter().map(Into::into).collect());
        ring
    }

    /// Returns the next URL; none when the ring is empty, which ends a load.
    ///
    /// # Panics
    ///
    /// Panics if an earlier holder of the ring panicked.
    #[must_use]
    pub fn next_url(&self) -> Option<String> {
        let mut state = self.state.lock().expect("no holder panics");
        let count = state.urls.len();
        let index = state.next.checked_rem(count)?;
        state.next = index + 1;
        Some(state.urls[index].clone())
    }

    /// Replaces the URLs.
    ///
    /// # Panics
    ///
    /// Panics if an earlier holder of the ring panicked.
    pub fn replace(&self, urls: Vec<String>) {
        self.state.lock().expect("no holder panics").urls = urls;
    }
}
