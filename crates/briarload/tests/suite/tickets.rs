//! Ticket load against a stand-in service.

use briarload::{CallOutcome, RoundRobinUrls, TicketPlan, run_tickets};
use briarrail_standin::{ServiceSettings, start_service};

#[tokio::test]
async fn outcomes_match_the_ledger() {
    let service = start_service("127.0.0.1:0", ServiceSettings::default());
    let service = service.await.expect("a free port");
    service.faults().update(|faults| {
        faults.refuse_next = 2;
        faults.drop_after_run_next = 3;
    });
    let plan = TicketPlan {
        urls: RoundRobinUrls::new([service.base_url()]),
        keys: TicketPlan::generate_keys(20),
        calls: 1,
        ..TicketPlan::default()
    };
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let report = run_tickets(&client, &plan).await;
    let expected = [
        (CallOutcome::Answered, 15),
        (CallOutcome::NotRun, 2),
        (CallOutcome::Cut, 3),
    ];
    assert_eq!(report.totals(), expected.into());
    for entry in service.ledger() {
        let outcome = report.outcomes[&entry.key][0];
        assert_ne!(outcome, CallOutcome::NotRun, "{entry:?}");
    }
    assert_eq!(service.ledger().len(), 18);
}
