//! Replays a fleet whose targets crash on some requests.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_dispatch::{
    CrashQuarantine, CrashSuspect, LostSuspect, SuspectChange, SuspectReports,
};
use briarrail_model::{MilliDuration, StableHash, hash_bytes, hash_pair};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixtures::at;

const TICK_MS: u64 = 5;
/// Number of crashes after which a part must be known (BUDGET).
const MAX_CRASHES_OF_PART: usize = 5;
/// Number of crashes after which a request must be known (BUDGET).
const MAX_CRASHES_OF_REQUEST: usize = 3;

pub(crate) fn part(name: &str) -> StableHash {
    hash_bytes(name.as_bytes())
}

/// What crashes targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BadSuspect {
    /// The first one; sound requests share the other parts.
    First,
    /// The second one, beside one of the common first parts.
    Second,
    /// No part alone, but one request that comes again; sound requests share its parts.
    Request,
    None,
}

/// Conditions of a replay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    pub(crate) routers: usize,
    pub(crate) targets: usize,
    pub(crate) sync_period_ms: u64,
    /// Delay of a sync request; the reply takes a fifth of it.
    pub(crate) sync_delay_ms: u64,
    /// Mean time from a request to the start of its answer.
    pub(crate) wait_ms: u64,
    pub(crate) sound_per_s: u64,
    pub(crate) bad_per_s: u64,
    pub(crate) bad_suspect: BadSuspect,
    /// Time for which routers act on evidence after the fifth crash.
    pub(crate) contact_ms: u64,
    /// Share of the targets that crash together each time, for other reasons.
    pub(crate) crash_share: f64,
    pub(crate) crash_period_ms: u64,
    /// Time between two restarts of a router, one after the other.
    pub(crate) restart_period_ms: u64,
    /// Number of times that a request is sent again after its target crashed.
    pub(crate) resends: u32,
    /// Share of the sound requests that are the same one.
    pub(crate) hot_share: f64,
    pub(crate) seed: u64,
}

pub(crate) const SMALL_SITE: Conditions = Conditions {
    routers: 9,
    targets: 12,
    sync_period_ms: 200,
    sync_delay_ms: 5,
    wait_ms: 100,
    sound_per_s: 130,
    bad_per_s: 3,
    bad_suspect: BadSuspect::Second,
    contact_ms: 3_000,
    crash_share: 0.0,
    crash_period_ms: 4_000,
    restart_period_ms: u64::MAX,
    seed: 1,
    resends: 0,
    hot_share: 0.0,
};

#[derive(Debug, Clone)]
struct WaitingRequest {
    router: usize,
    suspects: Vec<CrashSuspect>,
    is_bad: bool,
    sent_at: u64,
    begins_at: u64,
    /// Number of times that it was sent before.
    sends: u32,
}

/// A request that is sent again after its target crashed.
#[derive(Debug, Clone)]
struct Resend {
    due_at: u64,
    request: WaitingRequest,
}

#[derive(Debug, Clone, Default)]
struct Target {
    lifetime: u32,
    up_at: u64,
    waiting: Vec<WaitingRequest>,
}

/// Reports on their way to a router.
#[derive(Debug)]
struct Message {
    receiver: usize,
    arrives_at: u64,
    reports: SuspectReports,
    /// Router that gets a reply.
    reply_to: Option<usize>,
}

/// Result of a replay.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    /// Times of the crashes that requests caused.
    pub(crate) crashes: Vec<u64>,
    /// Times at which requests with the bad part were sent to a target.
    pub(crate) bad_sends: Vec<u64>,
    pub(crate) sound_sends: usize,
    pub(crate) sound_refusals: usize,
    pub(crate) blocked: BTreeSet<CrashSuspect>,
    pub(crate) released: usize,
    pub(crate) max_report_count: usize,
}

impl Totals {
    /// Returns the bad requests that were sent after all routers had to know the suspect.
    pub(crate) fn late_sends(&self, conditions: &Conditions) -> usize {
        let max_crashes = match conditions.bad_suspect {
            BadSuspect::Request => MAX_CRASHES_OF_REQUEST,
            BadSuspect::First | BadSuspect::Second | BadSuspect::None => MAX_CRASHES_OF_PART,
        };
        let Some(last) = self.crashes.get(max_crashes - 1) else {
            return 0;
        };
        let is_late = |sent_at: &&u64| **sent_at > last + conditions.contact_ms;
        self.bad_sends.iter().filter(is_late).count()
    }
}

pub(crate) struct Replay {
    conditions: Conditions,
    routers: Vec<CrashQuarantine>,
    targets: Vec<Target>,
    messages: Vec<Message>,
    resends: Vec<Resend>,
    random: SmallRng,
    totals: Totals,
}

impl Replay {
    pub(crate) fn new(conditions: Conditions) -> Self {
        Self {
            routers: vec![CrashQuarantine::default(); conditions.routers],
            targets: vec![Target::default(); conditions.targets],
            messages: Vec::new(),
            resends: Vec::new(),
            random: SmallRng::seed_from_u64(conditions.seed),
            totals: Totals::default(),
            conditions,
        }
    }

    pub(crate) fn run(mut self, duration_ms: u64) -> Totals {
        for now in (0..duration_ms).step_by(TICK_MS as usize) {
            self.crash_targets(now);
            self.begin_answers(now);
            self.exchange(now);
            self.restart_router(now);
            self.resend(now);
            for _ in 0..self.arrivals(self.conditions.sound_per_s) {
                self.send_request(now, false);
            }
            // The routers and the caches are in use for a second before the part appears.
            if now > 1_000 && self.conditions.bad_suspect != BadSuspect::None {
                for _ in 0..self.arrivals(self.conditions.bad_per_s) {
                    self.send_request(now, true);
                }
            }
        }
        self.totals
    }

    fn arrivals(&mut self, per_s: u64) -> usize {
        let expected = (per_s * TICK_MS) as f64 / 1_000.0;
        expected as usize + usize::from(self.random.random_bool(expected.fract()))
    }

    fn suspects(&mut self, is_bad: bool) -> Vec<CrashSuspect> {
        // A few first parts are common; subjects differ in popularity.
        let first = self.random.random_range(0..3);
        let spread: f64 = self.random.random_range(0.0..1.0);
        let subject = (spread * spread * 100.0) as u32;
        let sound = [
            part(&format!("first {first}")),
            part(&format!("subject {subject}")),
        ];
        let is_hot = self.random.random_bool(self.conditions.hot_share);
        let own = if is_hot {
            part("hot")
        } else {
            StableHash(self.random.random())
        };
        let (parts, own) = match self.conditions.bad_suspect {
            BadSuspect::First if is_bad => ([part("bad"), sound[1]], own),
            BadSuspect::Second if is_bad => ([part("first 0"), part("bad")], own),
            BadSuspect::Request if is_bad => ([part("first 0"), part("subject 95")], part("bad")),
            _ => (sound, own),
        };
        let parts = parts.into_iter().map(CrashSuspect::prompt_part);
        parts.chain([CrashSuspect::request(own)]).collect()
    }

    fn send_request(&mut self, now: u64, is_bad: bool) {
        let request = WaitingRequest {
            router: self.random.random_range(0..self.routers.len()),
            suspects: self.suspects(is_bad),
            is_bad,
            sent_at: now,
            begins_at: now,
            sends: 0,
        };
        self.send(request, now);
    }

    /// Sends the requests again that are due: at once by the same router, then by their callers.
    fn resend(&mut self, now: u64) {
        let resends = std::mem::take(&mut self.resends);
        let (due, rest): (Vec<_>, Vec<_>) =
            resends.into_iter().partition(|resend| resend.due_at <= now);
        self.resends = rest;
        for Resend { mut request, .. } in due {
            if request.sends.is_multiple_of(2) {
                request.router = self.random.random_range(0..self.routers.len());
            }
            self.send(request, now);
        }
    }

    fn send(&mut self, mut request: WaitingRequest, now: u64) {
        let suspects = request.suspects.iter().copied();
        if self.routers[request.router]
            .blocked_until(suspects, at(now))
            .is_some()
        {
            self.totals.sound_refusals += usize::from(!request.is_bad);
            return;
        }
        let affinity = hash_pair(request.suspects[0].hash, request.suspects[1].hash);
        let up = (0..self.targets.len()).filter(|&index| self.targets[index].up_at <= now);
        let chosen = up.max_by_key(|&index| {
            let lifetime = u64::from(self.targets[index].lifetime);
            hash_pair(affinity, StableHash(index as u64 * 1_000 + lifetime))
        });
        let Some(chosen) = chosen else {
            return;
        };
        if request.is_bad {
            self.totals.bad_sends.push(now);
        } else {
            self.totals.sound_sends += 1;
        }
        request.sent_at = now;
        request.begins_at = now + self.random.random_range(1..=self.conditions.wait_ms * 2);
        request.sends += 1;
        self.targets[chosen].waiting.push(request);
    }

    /// Begins the answers that are due; one with the bad part crashes its target.
    fn begin_answers(&mut self, now: u64) {
        for index in 0..self.targets.len() {
            let waiting = std::mem::take(&mut self.targets[index].waiting);
            let (due, rest): (Vec<_>, Vec<_>) = waiting
                .into_iter()
                .partition(|request| request.begins_at <= now);
            if due.iter().any(|request| request.is_bad) {
                self.totals.crashes.push(now);
                self.crash_target(index, due.into_iter().chain(rest).collect(), now);
                continue;
            }
            for request in due {
                let changes = self.routers[request.router].record_begin(request.suspects, at(now));
                self.note(&changes);
            }
            self.targets[index].waiting = rest;
        }
    }

    fn crash_target(&mut self, index: usize, waiting: Vec<WaitingRequest>, now: u64) {
        let target = &mut self.targets[index];
        let id = target.lifetime * 1_000 + index as u32;
        target.lifetime += 1;
        target.up_at = now + self.random.random_range(1_500..4_500);
        let mut lost: BTreeMap<usize, Vec<LostSuspect>> = BTreeMap::new();
        for request in waiting {
            let lost_there = lost.entry(request.router).or_default();
            let sent_at = at(request.sent_at);
            let suspects = request.suspects.iter();
            lost_there.extend(suspects.map(|&suspect| LostSuspect { suspect, sent_at }));
            if request.sends <= self.conditions.resends {
                let due_at = now + TICK_MS;
                self.resends.push(Resend { due_at, request });
            }
        }
        for (router, lost) in lost {
            let changes = self.routers[router].record_crash(id, lost, at(now), at(now));
            self.note(&changes);
        }
    }

    /// Crashes a share of the targets at once, for a reason other than a request.
    fn crash_targets(&mut self, now: u64) {
        let Conditions {
            crash_share,
            crash_period_ms,
            ..
        } = self.conditions;
        if crash_share == 0.0 || now == 0 || !now.is_multiple_of(crash_period_ms) {
            return;
        }
        for index in 0..self.targets.len() {
            if self.targets[index].up_at <= now && self.random.random_bool(crash_share) {
                let waiting = std::mem::take(&mut self.targets[index].waiting);
                self.crash_target(index, waiting, now);
            }
        }
    }

    /// Exchanges reports with the hub, router 0.
    fn exchange(&mut self, now: u64) {
        let Conditions {
            sync_period_ms,
            sync_delay_ms,
            ..
        } = self.conditions;
        for router in 1..self.routers.len() {
            let phase = router as u64 * TICK_MS;
            if (now + phase).is_multiple_of(sync_period_ms) {
                self.send_message(router, 0, Some(router), sync_delay_ms, now);
            }
        }
        let messages = std::mem::take(&mut self.messages);
        let (arrived, rest): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|message| message.arrives_at <= now);
        self.messages = rest;
        for message in arrived {
            let changes = self.routers[message.receiver].merge(&message.reports, at(now));
            self.note(&changes);
            if let Some(follower) = message.reply_to {
                self.send_message(0, follower, None, sync_delay_ms / 5, now);
            }
        }
    }

    fn send_message(
        &mut self,
        sender: usize,
        receiver: usize,
        reply_to: Option<usize>,
        delay_ms: u64,
        now: u64,
    ) {
        // Routers know only the round trip, and assume that both ways take the same time.
        let transit = MilliDuration::from_millis(self.conditions.sync_delay_ms * 6 / 5 / 2);
        let reports = self.routers[sender].reports(at(now)).aged(transit);
        let report_count = reports.iter().count();
        self.totals.max_report_count = self.totals.max_report_count.max(report_count);
        self.messages.push(Message {
            receiver,
            arrives_at: now + delay_ms,
            reports,
            reply_to,
        });
    }

    /// Restarts the routers in turn; the hub keeps what it knows in the store.
    fn restart_router(&mut self, now: u64) {
        let period_ms = self.conditions.restart_period_ms;
        if now == 0 || !now.is_multiple_of(period_ms) {
            return;
        }
        let router = (now / period_ms) as usize % self.routers.len();
        if router > 0 {
            self.routers[router] = CrashQuarantine::default();
        }
    }

    fn note(&mut self, changes: &[SuspectChange]) {
        for change in changes {
            match change {
                SuspectChange::Blocked(suspect, _) => {
                    self.totals.blocked.insert(*suspect);
                }
                SuspectChange::Released(_) => self.totals.released += 1,
            }
        }
    }
}
