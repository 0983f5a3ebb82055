//! The plain service over HTTP.

use std::io;
use std::sync::Mutex;
use std::time::Duration;

use http::{Method, StatusCode};

use crate::REQUEST_ID_HEADER;
use crate::server::{
    FaultInjector, StandinApp, StandinCall, StandinHandle, StandinReply, start_standin,
};
use crate::service::run_ledger::RunLedger;
use crate::service::{LedgerEntry, ServiceFaults, ServiceResponse, ServiceSettings, body_digest};

const LEDGER_PATH: &str = "/_standin/ledger";
const NAME_HEADER: &str = "x-standin";
const OTHER_REQUEST_ID: &str = "another-request";

/// Stand-in of a plain service that enters each run in a ledger.
///
/// It runs a repeated key again, so that the ledger shows a doubled request.
#[derive(Debug)]
pub struct ServiceStandin {
    name: String,
    faults: FaultInjector<ServiceFaults>,
    ledger: Mutex<RunLedger>,
}

/// Starts a service on an address such as `127.0.0.1:0`.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn start_service(
    address: &str,
    settings: ServiceSettings,
) -> io::Result<StandinHandle<ServiceStandin>> {
    let app = ServiceStandin {
        name: settings.name,
        faults: FaultInjector::new(settings.faults),
        ledger: Mutex::default(),
    };
    start_standin(address, app).await
}

impl StandinHandle<ServiceStandin> {
    /// Returns the switches of the faults.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<ServiceFaults> {
        &self.app().faults
    }

    /// Returns the ledger, in the order of the keys.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.app().list()
    }
}

impl ServiceStandin {
    fn list(&self) -> Vec<LedgerEntry> {
        self.ledger.lock().expect("no holder panics").list()
    }

    /// Looks up the entry whose key is the last segment of the path.
    fn look_up(&self, call: &StandinCall) -> StandinReply {
        let key = call.path.rsplit('/').next().unwrap_or_default();
        let ledger = self.ledger.lock().expect("no holder panics");
        let reply = match ledger.get(key) {
            Some(entry) => StandinReply::json(StatusCode::OK, entry),
            None => StandinReply::error(StatusCode::NOT_FOUND, "no such key"),
        };
        reply.with_header(REQUEST_ID_HEADER, echoed_id(call))
    }

    async fn run(&self, call: &StandinCall) -> StandinReply {
        let faults = self.faults.get();
        pause(faults.delay_before_ms).await;
        if self.faults.take(|faults| &mut faults.refuse_next) {
            let reply = StandinReply::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused");
            return reply.with_header(REQUEST_ID_HEADER, echoed_id(call));
        }
        if self.faults.take(|faults| &mut faults.drop_before_run_next) {
            return StandinReply::Abort;
        }
        self.ledger.lock().expect("no holder panics").enter(call);
        pause(faults.delay_after_ms).await;
        if self.faults.take(|faults| &mut faults.drop_after_run_next) {
            return StandinReply::Abort;
        }
        if self.faults.take(|faults| &mut faults.hang_after_run_next) {
            return StandinReply::Hang;
        }
        let is_wrong = self.faults.take(|faults| &mut faults.wrong_id_next);
        let id = if is_wrong {
            OTHER_REQUEST_ID
        } else {
            echoed_id(call)
        };
        let answer = ServiceResponse {
            path: call.path.clone(),
            body_digest: body_digest(&call.body),
        };
        let reply = StandinReply::json(StatusCode::CREATED, &answer);
        reply.with_header(REQUEST_ID_HEADER, id)
    }
}

impl StandinApp for ServiceStandin {
    type Faults = ServiceFaults;

    fn faults(&self) -> &FaultInjector<ServiceFaults> {
        &self.faults
    }

    async fn answer(&self, call: StandinCall) -> StandinReply {
        let reply = match call.method {
            Method::GET | Method::HEAD => self.look_up(&call),
            _ => self.run(&call).await,
        };
        reply.with_header(NAME_HEADER, &self.name)
    }

    fn inspect(&self, call: &StandinCall) -> StandinReply {
        if call.path != LEDGER_PATH {
            return StandinReply::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinReply::json(StatusCode::OK, &self.list())
    }
}

fn echoed_id(call: &StandinCall) -> &str {
    call.header(REQUEST_ID_HEADER).unwrap_or_default()
}

async fn pause(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}
