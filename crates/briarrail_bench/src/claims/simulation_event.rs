//! Events of the claims simulation and their queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{ReportId, StoreCallId, StoreReply};
use briarrail_peer::{ClaimReply, ClaimReport, ClaimRequest, ReportReply};

/// Index of a router.
pub(crate) type RouterIndex = usize;
/// Index of a call.
pub(crate) type CallIndex = usize;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimulationEvent {
    /// A caller sends a call with a new key.
    NewCall,
    /// A caller repeats an earlier call.
    Retry { call: CallIndex },
    /// A call requests its claim from a candidate owner of its bucket.
    Ask { call: CallIndex, candidate: usize },
    /// A claim request arrives at an owner.
    Claim {
        owner: RouterIndex,
        call: CallIndex,
        request: ClaimRequest,
    },
    /// The reply to a claim arrives at the entry router.
    ClaimReply { call: CallIndex, reply: ClaimReply },
    /// The claim request could not be delivered.
    Undelivered { call: CallIndex },
    /// A call's deadline for its claim expires.
    GiveUp { call: CallIndex },
    /// The target has completed a call.
    TargetDone { call: CallIndex },
    /// Reports of an entry router are due.
    SendReports { router: RouterIndex },
    /// A report arrives at an owner.
    Report {
        from: RouterIndex,
        owner: RouterIndex,
        id: ReportId,
        report: ClaimReport,
    },
    /// The reply to a report arrives at the entry router; `None` if the owner was unreachable.
    ReportReply {
        router: RouterIndex,
        id: ReportId,
        reply: Option<ReportReply>,
    },
    /// A store call has completed.
    StoreDone {
        owner: RouterIndex,
        id: StoreCallId,
        reply: StoreReply,
    },
    /// An owner's timer expires.
    Wake { owner: RouterIndex },
    /// The router that owns the first bucket fails.
    OwnerFails,
    /// The other routers detect the failure.
    FailureDetected,
}

/// Events ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    order: BinaryHeap<Reverse<(MilliTime, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    next: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: MilliTime, event: SimulationEvent) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub(crate) fn push_after(
        &mut self,
        now: MilliTime,
        after: MilliDuration,
        event: SimulationEvent,
    ) {
        self.push(now + after, event);
    }

    pub(crate) fn pop(&mut self) -> Option<(MilliTime, SimulationEvent)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
