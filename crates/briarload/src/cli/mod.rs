//! Commands of the command line.

mod cli_error;
mod cli_options;

use briarload::{
    ChatPlan, ComparisonPlan, HeaderNames, RoundRobinUrls, TicketPlan, run_chats, run_comparison,
    run_tickets,
};
use reqwest::Client;
use serde::Serialize;

use cli_error::CliError;
use cli_options::{CliMatches, CliOptions};

const DEFAULT_TICKET_COUNT: u64 = 100;

const USAGE: &str = "\
Usage: briarload COMMAND [OPTIONS]

Commands:
  chats    Send multi-turn chats and verify the answers
  tickets  Send POST requests with idempotency keys
  compare  Send the same chats to an engine directly and through a router

`briarload COMMAND --help` lists the options of a command. Reports are JSON on standard output.";

/// Runs the command given in the arguments.
pub(crate) fn run(arguments: &[String]) -> Result<(), CliError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CliError::UnknownCommand(USAGE.to_owned()));
    };
    let runtime = tokio::runtime::Runtime::new()?;
    match command.as_str() {
        "chats" => runtime.block_on(chats(rest)),
        "tickets" => runtime.block_on(tickets(rest)),
        "compare" => runtime.block_on(compare(rest)),
        "help" | "-h" | "--help" => {
            println!("{USAGE}");
            Ok(())
        }
        _ => Err(CliError::UnknownCommand(USAGE.to_owned())),
    }
}

async fn chats(arguments: &[String]) -> Result<(), CliError> {
    let options = chat_options(CliOptions::new("chats"))
        .repeated_option("url", "URL", "base URL; may be repeated for round-robin")
        .option("streams", "N", "maximum concurrent streams (default: 16)")
        .option(
            "rate",
            "N",
            "mean number of streams started per second (default: start one whenever one ends)",
        );
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let default = chat_plan(&matches)?;
    let plan = ChatPlan {
        urls: RoundRobinUrls::new(matches.required_list("url")?),
        streams: matches.value("streams", default.streams)?,
        rate_per_s: matches.optional("rate")?,
        ..default
    };
    print_json(&run_chats(&build_client()?, &plan).await)
}

async fn tickets(arguments: &[String]) -> Result<(), CliError> {
    let default = TicketPlan::default();
    let options = CliOptions::new("tickets")
        .repeated_option("url", "URL", "base URL; may be repeated for round-robin")
        .option(
            "path",
            "PATH",
            "path of the POST requests (default: /tickets)",
        )
        .option("tickets", "N", "number of tickets (default: 100)")
        .option("calls", "N", "maximum concurrent calls (default: 8)")
        .option(
            "attempts",
            "N",
            "number of times each call is sent with the same key (default: 1)",
        )
        .option("customer", "NAME", "customer name in the calls")
        .option("customer-header", "NAME", "header that names the customer");
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let plan = TicketPlan {
        urls: RoundRobinUrls::new(matches.required_list("url")?),
        path: matches.value("path", default.path)?,
        keys: TicketPlan::generate_keys(matches.value("tickets", DEFAULT_TICKET_COUNT)?),
        calls: matches.value("calls", default.calls)?,
        attempts: matches.value("attempts", default.attempts)?,
        customer: matches.value("customer", default.customer)?,
        headers: header_names(&matches)?,
    };
    let report = run_tickets(&build_client()?, &plan).await;
    print_json(&report.totals())
}

async fn compare(arguments: &[String]) -> Result<(), CliError> {
    let options = chat_options(CliOptions::new("compare"))
        .option("direct", "URL", "base URL of the engine")
        .option("routed", "URL", "base URL of the router")
        .option(
            "router-pid",
            "PID",
            "process id of the router, to measure its CPU time",
        )
        .option(
            "streams",
            "N,N",
            "numbers of concurrent streams, one row each (default: 1,64,512)",
        );
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let plan = ComparisonPlan {
        direct_url: matches.required("direct")?,
        routed_url: matches.required("routed")?,
        router_pid: matches.optional("router-pid")?,
        streams: matches.numbers("streams", &[1, 64, 512])?,
        load: chat_plan(&matches)?,
    };
    for row in run_comparison(&build_client()?, &plan).await {
        print_json(&row)?;
    }
    Ok(())
}

fn chat_options(options: CliOptions) -> CliOptions {
    options
        .option(
            "seconds",
            "S",
            "time during which new streams are started (default: 5)",
        )
        .option("limit", "N", "maximum number of streams to start")
        .option("tokens", "N", "tokens per answer (default: 32)")
        .option(
            "turn-bytes",
            "N",
            "bytes that each turn adds to the prompt (default: 400)",
        )
        .option(
            "chats",
            "N",
            "number of chats among which the turns are distributed (default: 200)",
        )
        .option(
            "model",
            "NAME",
            "model name in the requests (default: pan-model)",
        )
        .option(
            "customers",
            "NAME:WEIGHT,...",
            "customers and their weights",
        )
        .option("chat-header", "NAME", "header that names the chat")
        .option("customer-header", "NAME", "header that names the customer")
        .option(
            "seed",
            "N",
            "seed for the random choice of chats (default: 1)",
        )
}

fn chat_plan(matches: &CliMatches) -> Result<ChatPlan, CliError> {
    let default = ChatPlan::default();
    Ok(ChatPlan {
        ramp: matches.seconds("ramp", default.ramp)?,
        duration: matches.seconds("seconds", default.duration)?,
        limit: matches.optional("limit")?,
        tokens: matches.value("tokens", default.tokens)?,
        turn_bytes: matches.value("turn-bytes", default.turn_bytes)?,
        chats: matches.value("chats", default.chats)?,
        model: matches.value("model", default.model)?,
        customers: matches.value("customers", default.customers)?,
        headers: header_names(matches)?,
        seed: matches.value("seed", default.seed)?,
        ..ChatPlan::default()
    })
}

fn header_names(matches: &CliMatches) -> Result<HeaderNames, CliError> {
    let default = HeaderNames::default();
    Ok(HeaderNames {
        chat: matches.value("chat-header", default.chat)?,
        customer: matches.value("customer-header", default.customer)?,
    })
}

fn build_client() -> Result<Client, CliError> {
    Ok(Client::builder().no_proxy().build()?)
}

fn print_json<T>(value: &T) -> Result<(), CliError>
where
    T: Serialize,
{
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}
