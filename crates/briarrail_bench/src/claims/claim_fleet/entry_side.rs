//! The entry routers of the fleet: calls, targets and reports.

use briarrail_model::{MilliDuration, StableHash};
use briarrail_outcome::{ClaimClient, ClaimEvent, ClaimKey, ClaimStep, ReportId, RequestOutcome};
use briarrail_peer::{ClaimAnswer, ClaimOutcome, ClaimRequest, ReportReply};
use bytes::Bytes;
use rand::Rng;

use super::{ClaimFleet, FleetCall, next_gap, target_time};
use crate::claims::fleet_event::{CallIndex, FleetEvent, RouterIndex};

const ANSWER_BYTES: usize = 200;
const REFUSED_IN_1000: u32 = 5;
const RETRIED_IN_1000: u32 = 20;

impl ClaimFleet<'_> {
    pub(super) fn handle_new_call(&mut self) {
        let gap = next_gap(self.spec.claims_per_s, &mut self.rng);
        self.queue.push_after(self.now, gap, FleetEvent::NewCall);
        self.counts.asked += 1;
        let millis = self.now.as_millis();
        let random = self.counts.asked;
        let key = format!(
            "{:08x}-{:04x}-7000-8000-{random:012x}",
            millis >> 16,
            millis & 0xffff
        );
        let customer = format!("customer-{}", random % 44_000);
        let key = ClaimKey::new(&customer, &key).map(ClaimKey::into_string);
        if let Some(key) = key {
            self.start_call(key);
        }
    }

    pub(super) fn handle_retry(&mut self, call: CallIndex) {
        let key = self.calls[call].key.clone();
        self.start_call(key);
    }

    pub(super) fn start_call(&mut self, key: String) {
        let entry = self.rng.random_range(0..self.names.len());
        if Some(entry) == self.dead {
            return;
        }
        let request = ClaimRequest {
            key: key.clone(),
            body_hash: StableHash(1),
            router: format!("entry-{entry}"),
            attempt_id: self.calls.len() as u128,
            wait_ms: self.settings.claim_wait_ms,
        };
        let mut client = ClaimClient::new(request, self.now);
        let step = client.start();
        let call = self.calls.len();
        let give_up = FleetEvent::GiveUp { call };
        self.queue.push(client.deadline(), give_up);
        self.calls.push(FleetCall {
            entry,
            key,
            client,
            asked_at: self.now,
            candidate: 0,
            is_told: false,
        });
        self.take_step(call, step);
    }

    pub(super) fn take_step(&mut self, call: CallIndex, step: ClaimStep) {
        match step {
            ClaimStep::Ask { candidate, delay } => {
                let event = FleetEvent::Ask { call, candidate };
                self.queue.push_after(self.now, delay, event);
            }
            ClaimStep::Send { .. } => {
                self.end_wait(call, true);
                self.ledger.note_send(&self.calls[call].key);
                let time = target_time(&mut self.rng);
                let event = FleetEvent::TargetDone { call };
                self.queue.push_after(self.now, time, event);
            }
            ClaimStep::Replay(_) => {
                self.end_wait(call, false);
                self.counts.repeated += 1;
            }
            ClaimStep::Finish { outcome, release } => {
                self.end_wait(call, false);
                match outcome {
                    RequestOutcome::Unknown(_) => self.counts.unknown += 1,
                    _ => self.counts.not_run += 1,
                }
                if release {
                    self.report(call, ClaimOutcome::NotRun);
                }
            }
            ClaimStep::Release => self.report(call, ClaimOutcome::NotRun),
            ClaimStep::Ignore => {}
        }
    }

    pub(super) fn end_wait(&mut self, call: CallIndex, is_grant: bool) {
        let call = &mut self.calls[call];
        call.is_told = true;
        let waited = self.now.since(call.asked_at).as_millis();
        self.counts.note_wait(waited, is_grant);
    }

    pub(super) fn handle_claim_event(&mut self, call: CallIndex, event: ClaimEvent) {
        if Some(self.calls[call].entry) == self.dead {
            return;
        }
        let step = self.calls[call].client.handle(event, self.now);
        self.take_step(call, step);
    }

    pub(super) fn handle_ask(&mut self, call: CallIndex, candidate: usize) {
        if self.calls[call].is_told {
            return;
        }
        self.calls[call].candidate = candidate;
        let request = self.calls[call].client.request(self.now);
        let entry = self.calls[call].entry;
        let Some(owner) = self.candidate(&request.key, candidate) else {
            let event = FleetEvent::Undelivered { call };
            self.queue.push(self.now, event);
            return;
        };
        let trip = self.trip(entry, owner);
        let event = if Some(owner) == self.dead {
            FleetEvent::Undelivered { call }
        } else {
            FleetEvent::Claim {
                owner,
                call,
                request,
            }
        };
        self.queue.push_after(self.now, trip, event);
    }

    pub(super) fn handle_target(&mut self, call: CallIndex) {
        if Some(self.calls[call].entry) == self.dead {
            return;
        }
        if self.rng.random_range(0..1_000) < REFUSED_IN_1000 {
            self.ledger.note_refusal(&self.calls[call].key);
            self.counts.not_run += 1;
            self.counts.refused += 1;
            self.report(call, ClaimOutcome::NotRun);
            return;
        }
        self.report(
            call,
            ClaimOutcome::Answered(ClaimAnswer {
                status: 201,
                content_type: Some("application/json".into()),
                body: Some(Bytes::from(vec![b'x'; ANSWER_BYTES])),
            }),
        );
        if self.rng.random_range(0..1_000) < RETRIED_IN_1000 {
            let pause = MilliDuration::from_millis(self.rng.random_range(0..5_000));
            let event = FleetEvent::Retry { call };
            self.queue.push_after(self.now, pause, event);
        }
    }

    pub(super) fn report(&mut self, call: CallIndex, outcome: ClaimOutcome) {
        let call = &self.calls[call];
        let router = call.entry;
        let report = call.client.report(outcome);
        let queue = self.reports.entry(router).or_default();
        queue.add(report, self.now);
        self.send_reports(router);
    }

    pub(super) fn send_reports(&mut self, router: RouterIndex) {
        if Some(router) == self.dead {
            return;
        }
        let now = self.now;
        let due = self.reports.get_mut(&router);
        let due = due.map_or_else(Vec::new, |queue| queue.take_due(now));
        for report in due {
            let owner = self.candidate(&report.report.key, report.candidate);
            let live = owner.filter(|&owner| Some(owner) != self.dead);
            let id = report.id;
            let event = match live {
                Some(owner) => FleetEvent::Report {
                    from: router,
                    owner,
                    id,
                    report: report.report,
                },
                None => FleetEvent::ReportReply {
                    router,
                    id,
                    reply: None,
                },
            };
            let trip = owner.map_or(MilliDuration::ZERO, |owner| self.trip(router, owner));
            self.queue.push_after(now, trip, event);
        }
    }

    pub(super) fn handle_report_reply(
        &mut self,
        router: RouterIndex,
        id: ReportId,
        reply: Option<ReportReply>,
    ) {
        let Some(queue) = self.reports.get_mut(&router) else {
            return;
        };
        queue.handle_reply(id, reply, self.now);
        if let Some(at) = queue.next_wake() {
            let event = FleetEvent::SendReports { router };
            self.queue.push(at.max(self.now), event);
        }
    }
}
