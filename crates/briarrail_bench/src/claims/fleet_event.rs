//! Events of the simulated fleet, in the order of time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{ReportId, StoreCallId, StoreReply};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};

/// Index of a router.
pub(crate) type RouterIndex = usize;
/// Index of a call.
pub(crate) type CallIndex = usize;

/// An event of the fleet.
#[derive(Debug)]
pub(crate) enum FleetEvent {
    /// A caller makes a call with a new key.
    NewCall,
    /// A caller repeats an earlier call.
    Retry { call: CallIndex },
    /// A call asks a candidate of its bucket.
    Ask { call: CallIndex, candidate: usize },
    /// A claim reaches an owner.
    Claim {
        owner: RouterIndex,
        call: CallIndex,
        request: ClaimRequest,
    },
    /// A claim's reply reaches its entry router.
    ClaimReply { call: CallIndex, reply: ClaimReply },
    /// The asked router is gone.
    Undelivered { call: CallIndex },
    /// A call's wait for its claim ends.
    GiveUp { call: CallIndex },
    /// The target is done with a call.
    TargetDone { call: CallIndex },
    /// Reports of an entry router are due.
    SendReports { router: RouterIndex },
    /// A report reaches an owner.
    Report {
        from: RouterIndex,
        owner: RouterIndex,
        id: ReportId,
        report: ClaimReport,
    },
    /// A report's reply reaches its entry router.
    ReportReply {
        router: RouterIndex,
        id: ReportId,
        reply: Option<ReportReply>,
    },
    /// A store call is done.
    StoreDone {
        owner: RouterIndex,
        id: StoreCallId,
        reply: StoreReply,
    },
    /// An owner wants to be driven.
    Wake { owner: RouterIndex },
    /// The router that owns the first bucket dies.
    KillOwner,
    /// The routers learn of the death.
    LearnDeath,
}

/// Events in the order of time, then of their making.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    order: BinaryHeap<Reverse<(MilliTime, u64)>>,
    events: HashMap<u64, FleetEvent>,
    next: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: MilliTime, event: FleetEvent) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub(crate) fn push_after(&mut self, now: MilliTime, after: MilliDuration, event: FleetEvent) {
        self.push(now + after, event);
    }

    pub(crate) fn pop(&mut self) -> Option<(MilliTime, FleetEvent)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
