//! The entry routers: calls, target replies and reports.

use briarrail_model::{MilliDuration, StableHash};
use briarrail_outcome::{ClaimClient, ClaimEvent, ClaimKey, ClaimStep, ReportId, RequestOutcome};
use briarrail_peer::{ClaimAnswer, ClaimOutcome, ClaimRequest, ReportReply};
use bytes::Bytes;
use rand::Rng;

use super::{ClaimSimulation, EntryCall, next_arrival_gap, target_latency};
use crate::claims::simulation_event::{CallIndex, RouterIndex, SimulationEvent};

const ANSWER_BYTES: usize = 200;
const REFUSED_PER_MILLE: u32 = 5;
const RETRIED_PER_MILLE: u32 = 20;

impl ClaimSimulation<'_> {
    pub(super) fn handle_new_call(&mut self) {
        let gap = next_arrival_gap(self.case.claims_per_s, &mut self.rng);
        self.queue
            .push_after(self.now, gap, SimulationEvent::NewCall);
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
        let entry = self.rng.random_range(0..self.router_hashes.len());
        if Some(entry) == self.failed_router {
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
        let give_up = SimulationEvent::GiveUp { call };
        self.queue.push(client.deadline(), give_up);
        self.calls.push(EntryCall {
            entry,
            key,
            client,
            asked_at: self.now,
            candidate: 0,
            is_resolved: false,
        });
        self.apply_step(call, step);
    }

    pub(super) fn apply_step(&mut self, call: CallIndex, step: ClaimStep) {
        match step {
            ClaimStep::Ask { candidate, delay } => {
                let event = SimulationEvent::Ask { call, candidate };
                self.queue.push_after(self.now, delay, event);
            }
            ClaimStep::Send { .. } => {
                self.resolve_wait(call, true);
                self.send_tracker.record_send(&self.calls[call].key);
                let time = target_latency(&mut self.rng);
                let event = SimulationEvent::TargetDone { call };
                self.queue.push_after(self.now, time, event);
            }
            ClaimStep::Replay(_) => {
                self.resolve_wait(call, false);
                self.counts.repeated += 1;
            }
            ClaimStep::Finish { outcome, release } => {
                self.resolve_wait(call, false);
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

    pub(super) fn resolve_wait(&mut self, call: CallIndex, is_grant: bool) {
        let call = &mut self.calls[call];
        call.is_resolved = true;
        let waited = self.now.since(call.asked_at).as_millis();
        self.counts.record_wait(waited, is_grant);
    }

    pub(super) fn handle_claim_event(&mut self, call: CallIndex, event: ClaimEvent) {
        if Some(self.calls[call].entry) == self.failed_router {
            return;
        }
        let step = self.calls[call].client.handle(event, self.now);
        self.apply_step(call, step);
    }

    pub(super) fn handle_ask(&mut self, call: CallIndex, candidate: usize) {
        if self.calls[call].is_resolved {
            return;
        }
        self.calls[call].candidate = candidate;
        let request = self.calls[call].client.request(self.now);
        let entry = self.calls[call].entry;
        let Some(owner) = self.candidate(&request.key, candidate) else {
            let event = SimulationEvent::Undelivered { call };
            self.queue.push(self.now, event);
            return;
        };
        let network_delay = self.network_delay(entry, owner);
        let event = if Some(owner) == self.failed_router {
            SimulationEvent::Undelivered { call }
        } else {
            SimulationEvent::Claim {
                owner,
                call,
                request,
            }
        };
        self.queue.push_after(self.now, network_delay, event);
    }

    pub(super) fn handle_target_done(&mut self, call: CallIndex) {
        if Some(self.calls[call].entry) == self.failed_router {
            return;
        }
        if self.rng.random_range(0..1_000) < REFUSED_PER_MILLE {
            self.send_tracker.record_refusal(&self.calls[call].key);
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
        if self.rng.random_range(0..1_000) < RETRIED_PER_MILLE {
            let pause = MilliDuration::from_millis(self.rng.random_range(0..5_000));
            let event = SimulationEvent::Retry { call };
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
        if Some(router) == self.failed_router {
            return;
        }
        let now = self.now;
        let due = self.reports.get_mut(&router);
        let due = due.map_or_else(Vec::new, |queue| queue.take_due(now));
        for report in due {
            let owner = self.candidate(&report.report.key, report.candidate);
            let live = owner.filter(|&owner| Some(owner) != self.failed_router);
            let id = report.id;
            let event = match live {
                Some(owner) => SimulationEvent::Report {
                    from: router,
                    owner,
                    id,
                    report: report.report,
                },
                None => SimulationEvent::ReportReply {
                    router,
                    id,
                    reply: None,
                },
            };
            let network_delay = owner.map_or(MilliDuration::ZERO, |owner| {
                self.network_delay(router, owner)
            });
            self.queue.push_after(now, network_delay, event);
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
            let event = SimulationEvent::SendReports { router };
            self.queue.push(at.max(self.now), event);
        }
    }
}
