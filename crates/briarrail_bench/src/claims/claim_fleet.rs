//! A fleet of routers that claim keys, driven by events in virtual time.

mod entry_side;

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
use super::case_spec::CaseSpec;
use super::fleet_event::{CallIndex, EventQueue, FleetEvent, RouterIndex};
use super::key_ledger::KeyLedger;
use super::store_model::{StoreMode, StoreModel};

pub(crate) const EPOCH: MilliTime = MilliTime::from_millis(1_800_000_000_000);
/// Short, so that segments are deleted at the rate at which they are sealed.
const RETENTION: MilliDuration = MilliDuration::from_secs(20);
const REGIONS: usize = 4;
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 30;
const DEATH_NOTICE: MilliDuration = MilliDuration::from_secs(2);

/// One call on its entry router.
#[derive(Debug)]
struct FleetCall {
    entry: RouterIndex,
    key: String,
    client: ClaimClient,
    asked_at: MilliTime,
    candidate: usize,
    is_told: bool,
}

/// To whom a ticket's reply goes.
#[derive(Debug)]
enum TicketOrigin {
    Claim(CallIndex),
    Report(RouterIndex, ReportId, bool),
}

/// A fleet of routers that claim keys.
struct ClaimFleet<'a> {
    spec: &'a CaseSpec,
    now: MilliTime,
    end: MilliTime,
    rng: SmallRng,
    settings: ClaimSettings,
    names: Vec<StableHash>,
    /// Candidates of each bucket, as the routers know them.
    candidates: Vec<[Option<RouterIndex>; OWNER_CANDIDATES]>,
    dead: Option<RouterIndex>,
    owners: BTreeMap<RouterIndex, ClaimCoordinator>,
    wakes: HashMap<RouterIndex, MilliTime>,
    reports: HashMap<RouterIndex, ReportQueue>,
    calls: Vec<FleetCall>,
    tickets: HashMap<ClaimMessageId, (RouterIndex, TicketOrigin)>,
    next_ticket: u64,
    store: StoreModel,
    queue: EventQueue,
    counts: CaseCounts,
    ledger: KeyLedger,
}

/// Runs one case.
pub(crate) fn run(spec: &CaseSpec) -> CaseResult {
    let mut fleet = ClaimFleet::new(spec);
    fleet.start();
    while let Some((at, event)) = fleet.queue.pop() {
        if at >= fleet.end {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet
        .counts
        .result(spec, &fleet.store.counts, &fleet.ledger)
}

/// Returns how the store behaves at a time.
pub(crate) fn mode_at(spec: &CaseSpec, now: MilliTime) -> StoreMode {
    let second = now.since(EPOCH).as_millis() / 1_000;
    match second {
        15..20 if spec.has_faults => StoreMode::Down,
        30..33 if spec.has_faults => StoreMode::Lossy,
        _ => StoreMode::Good,
    }
}

/// Returns the time until the next call.
pub(crate) fn next_gap(calls_per_s: f64, rng: &mut SmallRng) -> MilliDuration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let exact = -uniform.ln() / calls_per_s * 1_000.0;
    // Gaps below a millisecond are rounded at random, so that the mean holds.
    let floor = exact.floor();
    let extra = u64::from(rng.random::<f64>() < exact - floor);
    MilliDuration::from_millis(floor as u64 + extra)
}

/// Returns the time that a target takes for a call.
pub(crate) fn target_time(rng: &mut SmallRng) -> MilliDuration {
    MilliDuration::from_millis(rng.random_range(20..400))
}

impl<'a> ClaimFleet<'a> {
    fn new(spec: &'a CaseSpec) -> Self {
        let names = (0..spec.routers).map(|index| hash_bytes(format!("entry-{index}").as_bytes()));
        let settings = ClaimSettings {
            retention_ms: RETENTION,
            clock_skew_ms: MilliDuration::from_secs(1),
            ..ClaimSettings::default()
        };
        Self {
            spec,
            now: EPOCH,
            end: EPOCH + MilliDuration::from_secs(spec.seconds),
            rng: SmallRng::seed_from_u64(spec.seed),
            store: StoreModel::new(EPOCH, settings.store_timeout_ms),
            settings,
            names: names.collect(),
            candidates: Vec::new(),
            dead: None,
            owners: BTreeMap::new(),
            wakes: HashMap::new(),
            reports: HashMap::new(),
            calls: Vec::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            queue: EventQueue::default(),
            counts: CaseCounts::new(),
            ledger: KeyLedger::default(),
        }
    }

    fn start(&mut self) {
        self.choose_candidates();
        self.queue.push(EPOCH, FleetEvent::NewCall);
        if self.spec.has_faults {
            let at = EPOCH + MilliDuration::from_secs(40);
            self.queue.push(at, FleetEvent::KillOwner);
        }
    }

    /// Ranks the live routers for each bucket, as every router does.
    fn choose_candidates(&mut self) {
        let live = self.names.iter().enumerate();
        let live: Vec<_> = live
            .filter(|&(index, _)| Some(index) != self.dead)
            .collect();
        self.candidates.clear();
        let mut owned: BTreeMap<RouterIndex, Vec<ClaimBucket>> = BTreeMap::new();
        for number in 0..self.settings.buckets {
            let bucket = ClaimBucket(number);
            let ranked = bucket.owner_candidates(live.iter().map(|&(_, name)| *name));
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

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::NewCall => self.handle_new_call(),
            FleetEvent::Retry { call } => self.handle_retry(call),
            FleetEvent::Ask { call, candidate } => self.handle_ask(call, candidate),
            FleetEvent::Claim {
                owner,
                call,
                request,
            } => self.handle_claim(owner, call, request),
            FleetEvent::ClaimReply { call, reply } => {
                self.handle_claim_event(call, ClaimEvent::Reply(reply));
            }
            FleetEvent::Undelivered { call } => {
                self.handle_claim_event(call, ClaimEvent::Undelivered);
            }
            FleetEvent::GiveUp { call } => self.handle_claim_event(call, ClaimEvent::Cancelled),
            FleetEvent::TargetDone { call } => self.handle_target(call),
            FleetEvent::SendReports { router } => self.send_reports(router),
            FleetEvent::Report {
                from,
                owner,
                id,
                report,
            } => self.handle_report(from, owner, id, report),
            FleetEvent::ReportReply { router, id, reply } => {
                self.handle_report_reply(router, id, reply);
            }
            FleetEvent::StoreDone { owner, id, reply } => {
                let now = self.now;
                self.drive(owner, |owner| owner.handle_store_reply(id, reply, now));
            }
            FleetEvent::Wake { owner } => {
                let now = self.now;
                self.wakes.remove(&owner);
                self.drive(owner, |owner| owner.tick(now));
            }
            FleetEvent::KillOwner => self.kill_owner(),
            FleetEvent::LearnDeath => self.choose_candidates(),
        }
    }

    fn candidate(&self, key: &str, rank: usize) -> Option<RouterIndex> {
        let bucket = ClaimBucket::of_key(key, self.settings.buckets);
        self.candidates[bucket.0 as usize][rank]
    }

    /// Returns the time of a message: short within a region, long between regions.
    fn trip(&self, from: RouterIndex, to: RouterIndex) -> MilliDuration {
        let is_near = self.spec.routers < REGIONS * 10 || from % REGIONS == to % REGIONS;
        MilliDuration::from_millis(if is_near { NEAR_MS } else { FAR_MS })
    }

    fn ticket(&mut self, holder: RouterIndex, origin: TicketOrigin) -> ClaimMessageId {
        let ticket = ClaimMessageId(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(ticket, (holder, origin));
        ticket
    }

    fn handle_claim(&mut self, owner: RouterIndex, call: CallIndex, request: ClaimRequest) {
        let now = self.now;
        let ticket = self.ticket(owner, TicketOrigin::Claim(call));
        self.drive(owner, |owner| owner.handle_claim(ticket, request, now));
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
        let ticket = self.ticket(owner, TicketOrigin::Report(from, id, is_answer));
        self.drive(owner, |owner| owner.handle_report(ticket, report, now));
    }

    /// Drives an owner and carries out what it wants.
    fn drive<F>(&mut self, index: RouterIndex, input: F)
    where
        F: FnOnce(&mut ClaimCoordinator) -> Vec<ClaimAction>,
    {
        let Some(owner) = self.owners.get_mut(&index) else {
            return;
        };
        let actions = input(owner);
        let wake = owner.next_wake();
        for action in actions {
            self.take_action(index, action);
        }
        if let Some(at) = wake {
            let at = at.max(self.now);
            if self.wakes.get(&index).is_none_or(|&planned| at < planned) {
                self.wakes.insert(index, at);
                self.queue.push(at, FleetEvent::Wake { owner: index });
            }
        }
    }

    fn take_action(&mut self, owner: RouterIndex, action: ClaimAction) {
        match action {
            ClaimAction::Call { id, call } => {
                let mode = mode_at(self.spec, self.now);
                let (reply, time) = self.store.call(call, mode, self.now, &mut self.rng);
                let event = FleetEvent::StoreDone { owner, id, reply };
                self.queue.push_after(self.now, time, event);
            }
            ClaimAction::Reply { message_id, reply } => {
                if let Some((_, TicketOrigin::Claim(call))) = self.tickets.remove(&message_id) {
                    let trip = self.trip(owner, self.calls[call].entry);
                    let event = FleetEvent::ClaimReply { call, reply };
                    self.queue.push_after(self.now, trip, event);
                }
            }
            ClaimAction::Acknowledge { message_id, reply } => {
                let origin = self.tickets.remove(&message_id);
                if let Some((_, TicketOrigin::Report(router, id, is_answer))) = origin {
                    let is_recorded = is_answer && reply == ReportReply::Recorded;
                    self.counts.recorded += u64::from(is_recorded);
                    let trip = self.trip(owner, router);
                    let reply = Some(reply);
                    let event = FleetEvent::ReportReply { router, id, reply };
                    self.queue.push_after(self.now, trip, event);
                }
            }
        }
    }

    /// Ends the router that owns the first bucket, without notice.
    fn kill_owner(&mut self) {
        let Some(owner) = self.candidates[0][0] else {
            return;
        };
        self.dead = Some(owner);
        self.owners.remove(&owner);
        let held: Vec<ClaimMessageId> = self
            .tickets
            .iter()
            .filter(|(_, (holder, _))| *holder == owner)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in held {
            match self.tickets.remove(&ticket) {
                Some((_, TicketOrigin::Claim(call))) => {
                    self.handle_claim_event(call, ClaimEvent::ReplyLost);
                }
                Some((_, TicketOrigin::Report(router, id, _))) => {
                    self.handle_report_reply(router, id, None);
                }
                None => {}
            }
        }
        self.queue
            .push_after(self.now, DEATH_NOTICE, FleetEvent::LearnDeath);
    }
}
