//! Event-driven simulation of routers that claim idempotency keys.

mod entry_routers;

use std::collections::{BTreeMap, HashMap};

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};
use briarrail_outcome::{
    ClaimAction, ClaimBucket, ClaimClient, ClaimCoordinator, ClaimEvent, ClaimMessageId,
    ClaimSettings, OWNER_CANDIDATES, ReportId, ReportQueue,
};
use briarrail_peer::{ClaimOutcome, ClaimReport, ClaimRequest, ReportReply};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::case_result::{CaseCounts, CaseResult};
use super::claim_case::ClaimCase;
use super::send_tracker::SendTracker;
use super::simulation_event::{CallIndex, EventQueue, RouterIndex, SimulationEvent};
use super::store_model::{StoreMode, StoreModel};

pub(crate) const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);
/// Short enough that segments are deleted as fast as they are sealed.
const RETENTION: MilliDuration = MilliDuration::from_secs(20);
const REGIONS: usize = 4;
const SAME_REGION_DELAY_MS: u64 = 1;
const CROSS_REGION_DELAY_MS: u64 = 30;
const FAILURE_DETECTION_DELAY: MilliDuration = MilliDuration::from_secs(2);

/// One call at its entry router.
#[derive(Debug)]
struct EntryCall {
    entry: RouterIndex,
    key: String,
    client: ClaimClient,
    asked_at: MilliTime,
    candidate: usize,
    /// Whether the wait for the claim has ended.
    is_resolved: bool,
}

/// Where the reply to a message goes.
#[derive(Debug)]
enum ReplyDestination {
    Claim(CallIndex),
    /// Entry router, report, and whether the report carries an answer.
    Report(RouterIndex, ReportId, bool),
}

/// State of one case.
struct ClaimSimulation<'a> {
    case: &'a ClaimCase,
    now: MilliTime,
    end: MilliTime,
    rng: SmallRng,
    settings: ClaimSettings,
    router_hashes: Vec<StableHash>,
    /// Owner candidates of each bucket, as known to the routers.
    candidates: Vec<[Option<RouterIndex>; OWNER_CANDIDATES]>,
    failed_router: Option<RouterIndex>,
    owners: BTreeMap<RouterIndex, ClaimCoordinator>,
    next_wakes: HashMap<RouterIndex, MilliTime>,
    reports: HashMap<RouterIndex, ReportQueue>,
    calls: Vec<EntryCall>,
    pending_messages: HashMap<ClaimMessageId, (RouterIndex, ReplyDestination)>,
    next_message_id: u64,
    store: StoreModel,
    queue: EventQueue,
    counts: CaseCounts,
    send_tracker: SendTracker,
}

/// Runs one case.
pub(crate) fn run(case: &ClaimCase) -> CaseResult {
    let mut simulation = ClaimSimulation::new(case);
    simulation.start();
    while let Some((at, event)) = simulation.queue.pop() {
        if at >= simulation.end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation
        .counts
        .result(case, &simulation.store.counts, &simulation.send_tracker)
}

/// Returns the condition of the store at `now`.
pub(crate) fn store_mode_at(case: &ClaimCase, now: MilliTime) -> StoreMode {
    let second = now.since(EPOCH).as_millis() / 1_000;
    match second {
        15..20 if case.has_faults => StoreMode::Down,
        30..33 if case.has_faults => StoreMode::Lossy,
        _ => StoreMode::Healthy,
    }
}

/// Returns the exponentially distributed time until the next call.
pub(crate) fn next_arrival_gap(calls_per_s: f64, rng: &mut SmallRng) -> MilliDuration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let exact = -uniform.ln() / calls_per_s * 1_000.0;
    // Fractions of a millisecond are rounded at random to preserve the mean.
    let floor = exact.floor();
    let extra = u64::from(rng.random::<f64>() < exact - floor);
    MilliDuration::from_millis(floor as u64 + extra)
}

/// Returns the time that the target takes to answer a call.
pub(crate) fn target_latency(rng: &mut SmallRng) -> MilliDuration {
    MilliDuration::from_millis(rng.random_range(20..400))
}

impl<'a> ClaimSimulation<'a> {
    fn new(case: &'a ClaimCase) -> Self {
        let router_hashes =
            (0..case.routers).map(|index| hash_bytes(format!("entry-{index}").as_bytes()));
        let settings = ClaimSettings {
            retention_ms: RETENTION,
            clock_skew_ms: MilliDuration::from_secs(1),
            ..ClaimSettings::default()
        };
        Self {
            case,
            now: EPOCH,
            end: EPOCH + MilliDuration::from_secs(case.seconds),
            rng: SmallRng::seed_from_u64(case.seed),
            store: StoreModel::new(EPOCH, settings.store_timeout_ms),
            settings,
            router_hashes: router_hashes.collect(),
            candidates: Vec::new(),
            failed_router: None,
            owners: BTreeMap::new(),
            next_wakes: HashMap::new(),
            reports: HashMap::new(),
            calls: Vec::new(),
            pending_messages: HashMap::new(),
            next_message_id: 0,
            queue: EventQueue::default(),
            counts: CaseCounts::new(),
            send_tracker: SendTracker::default(),
        }
    }

    fn start(&mut self) {
        self.choose_candidates();
        self.queue.push(EPOCH, SimulationEvent::NewCall);
        if self.case.has_faults {
            let at = EPOCH + MilliDuration::from_secs(40);
            self.queue.push(at, SimulationEvent::OwnerFails);
        }
    }

    /// Ranks the live routers for each bucket, as every router does.
    fn choose_candidates(&mut self) {
        let live = self.router_hashes.iter().enumerate();
        let live: Vec<_> = live
            .filter(|&(index, _)| Some(index) != self.failed_router)
            .collect();
        self.candidates.clear();
        let mut owned: BTreeMap<RouterIndex, Vec<ClaimBucket>> = BTreeMap::new();
        for number in 0..self.settings.buckets {
            let bucket = ClaimBucket(number);
            let ranked = bucket.owner_candidates(live.iter().map(|&(_, hash)| *hash));
            let ranked = ranked.map(|rank| rank.map(|rank| live[rank].0));
            for router in ranked.into_iter().flatten() {
                owned.entry(router).or_default().push(bucket);
            }
            self.candidates.push(ranked);
        }
        for (&router, owner) in &mut self.owners {
            owner.set_candidate_buckets(owned.remove(&router).unwrap_or_default());
        }
        for (router, buckets) in owned {
            let mut owner = ClaimCoordinator::new(self.settings.clone(), router as u64);
            owner.set_candidate_buckets(buckets);
            self.owners.insert(router, owner);
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::NewCall => self.handle_new_call(),
            SimulationEvent::Retry { call } => self.handle_retry(call),
            SimulationEvent::Ask { call, candidate } => self.handle_ask(call, candidate),
            SimulationEvent::Claim {
                owner,
                call,
                request,
            } => self.handle_claim(owner, call, request),
            SimulationEvent::ClaimReply { call, reply } => {
                self.handle_claim_event(call, ClaimEvent::Reply(reply));
            }
            SimulationEvent::Undelivered { call } => {
                self.handle_claim_event(call, ClaimEvent::Undelivered);
            }
            SimulationEvent::GiveUp { call } => {
                self.handle_claim_event(call, ClaimEvent::Cancelled);
            }
            SimulationEvent::TargetDone { call } => self.handle_target_done(call),
            SimulationEvent::SendReports { router } => self.send_reports(router),
            SimulationEvent::Report {
                from,
                owner,
                id,
                report,
            } => self.handle_report(from, owner, id, report),
            SimulationEvent::ReportReply { router, id, reply } => {
                self.handle_report_reply(router, id, reply);
            }
            SimulationEvent::StoreDone { owner, id, reply } => {
                let now = self.now;
                self.drive_owner(owner, |owner| owner.handle_store_reply(id, reply, now));
            }
            SimulationEvent::Wake { owner } => {
                let now = self.now;
                self.next_wakes.remove(&owner);
                self.drive_owner(owner, |owner| owner.tick(now));
            }
            SimulationEvent::OwnerFails => self.fail_owner(),
            SimulationEvent::FailureDetected => self.choose_candidates(),
        }
    }

    fn candidate(&self, key: &str, rank: usize) -> Option<RouterIndex> {
        let bucket = ClaimBucket::of_key(key, self.settings.buckets);
        self.candidates[bucket.0 as usize][rank]
    }

    /// Returns the network delay of a message, which is longer between regions.
    fn network_delay(&self, from: RouterIndex, to: RouterIndex) -> MilliDuration {
        let is_same_region = self.case.routers < REGIONS * 10 || from % REGIONS == to % REGIONS;
        MilliDuration::from_millis(if is_same_region {
            SAME_REGION_DELAY_MS
        } else {
            CROSS_REGION_DELAY_MS
        })
    }

    fn register_message(
        &mut self,
        holder: RouterIndex,
        destination: ReplyDestination,
    ) -> ClaimMessageId {
        let message_id = ClaimMessageId(self.next_message_id);
        self.next_message_id += 1;
        self.pending_messages
            .insert(message_id, (holder, destination));
        message_id
    }

    fn handle_claim(&mut self, owner: RouterIndex, call: CallIndex, request: ClaimRequest) {
        let now = self.now;
        let message_id = self.register_message(owner, ReplyDestination::Claim(call));
        self.drive_owner(owner, |owner| owner.handle_claim(message_id, request, now));
    }

    fn handle_report(
        &mut self,
        from: RouterIndex,
        owner: RouterIndex,
        id: ReportId,
        report: ClaimReport,
    ) {
        let now = self.now;
        let is_answer = matches!(report.outcome, ClaimOutcome::Answered(_));
        let message_id =
            self.register_message(owner, ReplyDestination::Report(from, id, is_answer));
        self.drive_owner(owner, |owner| owner.handle_report(message_id, report, now));
    }

    /// Passes an input to an owner, applies the resulting actions and schedules its next wake.
    fn drive_owner<F>(&mut self, index: RouterIndex, input: F)
    where
        F: FnOnce(&mut ClaimCoordinator) -> Vec<ClaimAction>,
    {
        let Some(owner) = self.owners.get_mut(&index) else {
            return;
        };
        let actions = input(owner);
        let wake = owner.next_wake();
        for action in actions {
            self.apply_action(index, action);
        }
        if let Some(at) = wake {
            let at = at.max(self.now);
            if self
                .next_wakes
                .get(&index)
                .is_none_or(|&planned| at < planned)
            {
                self.next_wakes.insert(index, at);
                self.queue.push(at, SimulationEvent::Wake { owner: index });
            }
        }
    }

    fn apply_action(&mut self, owner: RouterIndex, action: ClaimAction) {
        match action {
            ClaimAction::Call { id, call } => {
                let mode = store_mode_at(self.case, self.now);
                let (reply, time) = self.store.call(call, mode, self.now, &mut self.rng);
                let event = SimulationEvent::StoreDone { owner, id, reply };
                self.queue.push_after(self.now, time, event);
            }
            ClaimAction::Reply { message_id, reply } => {
                if let Some((_, ReplyDestination::Claim(call))) =
                    self.pending_messages.remove(&message_id)
                {
                    let network_delay = self.network_delay(owner, self.calls[call].entry);
                    let event = SimulationEvent::ClaimReply { call, reply };
                    self.queue.push_after(self.now, network_delay, event);
                }
            }
            ClaimAction::Acknowledge { message_id, reply } => {
                let destination = self.pending_messages.remove(&message_id);
                if let Some((_, ReplyDestination::Report(router, id, is_answer))) = destination {
                    let is_recorded = is_answer && reply == ReportReply::Recorded;
                    self.counts.recorded += u64::from(is_recorded);
                    let network_delay = self.network_delay(owner, router);
                    let reply = Some(reply);
                    let event = SimulationEvent::ReportReply { router, id, reply };
                    self.queue.push_after(self.now, network_delay, event);
                }
            }
        }
    }

    /// Fails the router that owns the first bucket without an orderly shutdown.
    fn fail_owner(&mut self) {
        let Some(owner) = self.candidates[0][0] else {
            return;
        };
        self.failed_router = Some(owner);
        self.owners.remove(&owner);
        let unanswered: Vec<ClaimMessageId> = self
            .pending_messages
            .iter()
            .filter(|(_, (holder, _))| *holder == owner)
            .map(|(&message_id, _)| message_id)
            .collect();
        for message_id in unanswered {
            match self.pending_messages.remove(&message_id) {
                Some((_, ReplyDestination::Claim(call))) => {
                    self.handle_claim_event(call, ClaimEvent::ReplyLost);
                }
                Some((_, ReplyDestination::Report(router, id, _))) => {
                    self.handle_report_reply(router, id, None);
                }
                None => {}
            }
        }
        self.queue.push_after(
            self.now,
            FAILURE_DETECTION_DELAY,
            SimulationEvent::FailureDetected,
        );
    }
}
