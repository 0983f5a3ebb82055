//! The command line.

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

const DEFAULT_TICKETS: u64 = 100;

const USAGE: &str = "\
Usage: briarload COMMAND [OPTIONS]

Commands:
  chats    Streams of chats that return; answers are verified
  tickets  Posts with idempotency keys
  compare  The same chats on an engine directly and through a router

`briarload COMMAND --help` lists the options of a command. Reports are JSON on standard output.";

/// Runs the command that the arguments name.
pub(crate) fn run(arguments: &[String]) -> Result<(), CliError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CliError::Usage(USAGE.to_owned()));
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
        _ => Err(CliError::Usage(USAGE.to_owned())),
    }
}

async fn chats(arguments: &[String]) -> Result<(), CliError> {
    let options = chat_options(CliOptions::new("chats"))
        .list(
            "url",
            "URL",
            "base URL; may be repeated, and is taken in turn",
        )
        .option("streams", "N", "streams open at once; 16 by default")
        .option(
            "rate",
            "N",
            "streams started in a second, in place of one as each ends",
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
    print_json(&run_chats(&client()?, &plan).await)
}

async fn tickets(arguments: &[String]) -> Result<(), CliError> {
    let default = TicketPlan::default();
    let options = CliOptions::new("tickets")
        .list(
            "url",
            "URL",
            "base URL; may be repeated, and is taken in turn",
        )
        .option("path", "PATH", "path to post to; /tickets by default")
        .option("tickets", "N", "tickets to post; 100 by default")
        .option("calls", "N", "calls in flight at once; 8 by default")
        .option(
            "attempts",
            "N",
            "times that each call is sent with its key; 1 by default",
        )
        .option("customer", "NAME", "customer that the calls name")
        .option("customer-header", "NAME", "header that names the customer");
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let plan = TicketPlan {
        urls: RoundRobinUrls::new(matches.required_list("url")?),
        path: matches.value("path", default.path)?,
        keys: TicketPlan::generate_keys(matches.value("tickets", DEFAULT_TICKETS)?),
        calls: matches.value("calls", default.calls)?,
        attempts: matches.value("attempts", default.attempts)?,
        customer: matches.value("customer", default.customer)?,
        headers: header_names(&matches)?,
    };
    let report = run_tickets(&client()?, &plan).await;
    print_json(&report.totals())
}

async fn compare(arguments: &[String]) -> Result<(), CliError> {
    let options = chat_options(CliOptions::new("compare"))
        .option("direct", "URL", "base URL of the engine")
        .option("routed", "URL", "base URL of the router")
        .option(
            "router-pid",
            "PID",
            "process of the router, to read its processor time",
        )
        .option(
            "streams",
            "N,N",
            "streams open at once, a row each; 1,64,512 by default",
        );
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let plan = ComparisonPlan {
        direct_url: matches.required("direct")?,
        routed_url: matches.required("routed")?,
        router_process: matches.optional("router-pid")?,
        streams: matches.numbers("streams", &[1, 64, 512])?,
        load: chat_plan(&matches)?,
    };
    for row in run_comparison(&client()?, &plan).await {
        print_json(&row)?;
    }
    Ok(())
}

fn chat_options(options: CliOptions) -> CliOptions {
    options
        .option(
            "seconds",
            "S",
            "time for which streams are started; 5 by default",
        )
        .option("limit", "N", "most streams to start")
        .option("tokens", "N", "tokens of each answer; 32 by default")
        .option(
            "turn-bytes",
            "N",
            "bytes that each turn adds to the prompt; 400 by default",
        )
        .option("chats", "N", "chats that come back; 200 by default")
        .option(
            "model",
            "NAME",
            "model that the requests name; pan-model by default",
        )
        .option(
            "customers",
            "NAME:WEIGHT,...",
            "customers and their parts of the chats",
        )
        .option("chat-header", "NAME", "header that names the chat")
        .option("customer-header", "NAME", "header that names the customer")
        .option("seed", "N", "seed of the choice of chats; 1 by default")
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

fn client() -> Result<Client, CliError> {
    Ok(Client::builder().no_proxy().build()?)
}

fn print_json<T>(value: &T) -> Result<(), CliError>
where
    T: Serialize,
{
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}
