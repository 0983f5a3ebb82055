//! HTTP API of a plain service.

use std::io;
use std::sync::Mutex;
use std::time::Duration;

use http::{Method, StatusCode};

use crate::REQUEST_ID_HEADER;
use crate::server::{
    FaultInjector, StandinApp, StandinHandle, StandinRequest, StandinResponse, start_standin,
};
use crate::service::run_ledger::RunLedger;
use crate::service::{LedgerEntry, ServiceFaults, ServiceResponse, ServiceSettings, body_digest};

const LEDGER_PATH: &str = "/_standin/ledger";
const NAME_HEADER: &str = "x-standin";
const MISMATCHED_REQUEST_ID: &str = "another-request";

/// Stand-in for a plain service, which records each run in a ledger.
///
/// It doesn't deduplicate by idempotency key, so that the ledger shows requests that ran twice.
#[derive(Debug)]
pub struct ServiceStandin {
    name: String,
    faults: FaultInjector<ServiceFaults>,
    ledger: Mutex<RunLedger>,
}

/// Starts a plain service on an address such as `127.0.0.1:0`.
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
    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector<ServiceFaults> {
        &self.app().faults
    }

    /// Returns the ledger entries, sorted by key.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.app().ledger_entries()
    }
}

impl ServiceStandin {
    fn ledger_entries(&self) -> Vec<LedgerEntry> {
        self.ledger.lock().expect("mutex is not poisoned").list()
    }

    /// Returns the ledger entry whose key is the last segment of the path.
    fn look_up_entry(&self, request: &StandinRequest) -> StandinResponse {
        let key = request.path.rsplit('/').next().unwrap_or_default();
        let ledger = self.ledger.lock().expect("mutex is not poisoned");
        let response = match ledger.get(key) {
            Some(entry) => StandinResponse::json(StatusCode::OK, entry),
            None => StandinResponse::error(StatusCode::NOT_FOUND, "no such key"),
        };
        response.with_header(REQUEST_ID_HEADER, request_id_of(request))
    }

    async fn run(&self, request: &StandinRequest) -> StandinResponse {
        let faults = self.faults.get();
        sleep_ms(faults.delay_before_ms).await;
        if self.faults.consume(|faults| &mut faults.refuse_next) {
            let response = StandinResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused");
            return response.with_header(REQUEST_ID_HEADER, request_id_of(request));
        }
        if self
            .faults
            .consume(|faults| &mut faults.drop_before_run_next)
        {
            return StandinResponse::Abort;
        }
        self.ledger
            .lock()
            .expect("mutex is not poisoned")
            .record_run(request);
        sleep_ms(faults.delay_after_ms).await;
        if self
            .faults
            .consume(|faults| &mut faults.drop_after_run_next)
        {
            return StandinResponse::Abort;
        }
        if self
            .faults
            .consume(|faults| &mut faults.hang_after_run_next)
        {
            return StandinResponse::Hang;
        }
        let has_wrong_id = self.faults.consume(|faults| &mut faults.wrong_id_next);
        let id = if has_wrong_id {
            MISMATCHED_REQUEST_ID
        } else {
            request_id_of(request)
        };
        let body = ServiceResponse {
            path: request.path.clone(),
            body_digest: body_digest(&request.body),
        };
        let response = StandinResponse::json(StatusCode::CREATED, &body);
        response.with_header(REQUEST_ID_HEADER, id)
    }
}

impl StandinApp for ServiceStandin {
    type Faults = ServiceFaults;

    fn faults(&self) -> &FaultInjector<ServiceFaults> {
        &self.faults
    }

    async fn handle(&self, request: StandinRequest) -> StandinResponse {
        let response = match request.method {
            Method::GET | Method::HEAD => self.look_up_entry(&request),
            _ => self.run(&request).await,
        };
        response.with_header(NAME_HEADER, &self.name)
    }

    fn inspect(&self, request: &StandinRequest) -> StandinResponse {
        if request.path != LEDGER_PATH {
            return StandinResponse::error(StatusCode::NOT_FOUND, "no such path");
        }
        StandinResponse::json(StatusCode::OK, &self.ledger_entries())
    }
}

fn request_id_of(request: &StandinRequest) -> &str {
    request.header(REQUEST_ID_HEADER).unwrap_or_default()
}

async fn sleep_ms(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}
