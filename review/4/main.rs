//! A sound engine falls silent for a second or so in its streams, and another one refuses late.

#[path = "../standin/kit.rs"]
mod kit;

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use kit::*;

/// `HeartbeatMs` of the small deployments.
const HEARTBEAT_MS: u64 = 1_200;
/// Events of a whole stream; those of `season-digest` on the sheet.
const EVENTS: u64 = 55;
const EVENT_MS: u64 = 20;
/// Events before the silence, and its length: "a second or so".
const EVENTS_BEFORE: u64 = 10;
const SILENCE_MS: u64 = 1_400;
/// Time after which an engine that is full refuses.
const REFUSAL_MS: u64 = 300;
const STREAMS: usize = 12;
/// Time from the SIGHUP to the first request; `ConfigApplyMs` is 2,000.
const AFTER_SIGHUP_MS: u64 = 200;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let code = play(&record);
    std::process::exit(code);
}

/// A sound engine that is silent for a while, and has no room for streams that others began.
struct Engine {
    is_silent: bool,
}

impl Behaviour for Engine {
    fn run(&self, server: &Server, request: &Message, channel: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("briarrail-attempt-id").unwrap_or("").to_owned();
        if request.header("last-event-id").is_some() {
            sleep_ms(REFUSAL_MS);
            server.record.line(&format!("server {} refuses {id}: is full", server.id));
            let headers = [("Briarrail-Attempt-Id", id.as_str()), ("Briarrail-Not-Executed", "1")];
            channel.write_all(&answer("503 Service Unavailable", &headers, b""))?;
            return Ok(true);
        }
        server.record_run(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBriarrail-Attempt-Id: {id}\r\n\
             Briarrail-Engine-Seal: seal.{}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            server.id
        );
        channel.write_all(head.as_bytes())?;
        for number in 0..EVENTS {
            if self.is_silent && number == EVENTS_BEFORE {
                sleep_ms(SILENCE_MS);
                server.record.line(&format!("server {} goes on with {id}", server.id));
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            channel.write_all(chunk.as_bytes())?;
            sleep_ms(EVENT_MS);
        }
        channel.write_all(b"0\r\n\r\n")?;
        server.record.line(&format!("server {} completes {id}", server.id));
        Ok(true)
    }
}

fn play(record: &Record) -> i32 {
    let temp = TempFolder::create();
    let store = Store::start(record);
    let route = Route {
        prefix: "/lohu930/",
        kind: "streaming",
        service: "pan-model",
        timeout_ms: 12_000,
        slo_ms: 600,
        attempts: 2,
        resumable: true,
    };
    store.put("operator", "config", "main", &config(1, &[route], &[("pan-model", 370, true)]));
    let zones = ["gongoni", "marereni"];
    let servers: Vec<Server> = (0..2)
        .map(|number| {
            let engine = Engine {
                is_silent: has_trouble(),
            };
            Server::start(record, &format!("i-{number}"), "pan-model", zones[number], 64, engine)
        })
        .collect();
    for server in &servers {
        store.put(&server.id, "servers", &server.id, &server.entry("ready"));
    }
    {
        let store = store.clone();
        std::thread::spawn(move || loop {
            sleep_ms(HEARTBEAT_MS);
            for server in &servers {
                store.put(&server.id, "servers", &server.id, &server.entry("ready"));
            }
        });
    }
    let mut router = Router::start(record, &temp.0, "edge-gongoni-1", "gongoni", store.address);
    router.wait_ready();
    // Nothing but this happens in the `ContactMs` before the requests.
    sleep_ms(4_000);
    router.signal(SIGHUP);
    sleep_ms(AFTER_SIGHUP_MS);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (router.front, record.clone());
            std::thread::spawn(move || read_stream(&record, front, number))
        })
        .collect();
    let outcomes: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
    let (mut whole, mut cut, mut failed) = (0, 0, 0);
    for outcome in outcomes {
        match outcome {
            Ok(Ok(EVENTS)) => whole += 1,
            Ok(Ok(_)) => cut += 1,
            Ok(Err(_)) | Err(_) => failed += 1,
        }
    }
    record.say(&format!(
        "{STREAMS} streams: {whole} whole, {cut} that ended without a complete answer, {failed} failed"
    ));
    if failed > 0 || whole + cut < STREAMS {
        give_up(record, "streams could not be sent");
    }
    if cut == 0 {
        record.say("LOST held");
        return HELD;
    }
    record.say("LOST broken");
    BROKEN
}

/// Reads a stream and returns its events, if it ended as a whole one does, or those before its end.
fn read_stream(record: &Record, front: SocketAddr, number: usize) -> io::Result<u64> {
    let id = attempt_id();
    let mut client = Client::connect(front, 1_000)?;
    client.reader.get_ref().set_read_timeout(Some(Duration::from_millis(12_000)))?;
    let parts = format!("{:x}:699,{:x}:130", 0x5c1e_07a2_u64 + number as u64 * 7_919, number + 1);
    let headers = [
        ("Briarrail-Model", "m"),
        ("Briarrail-Token-Usage", "829,400"),
        ("Briarrail-Prefix-Hash", parts.as_str()),
    ];
    client.send(&client_request("POST", "/lohu930/2f", &id, 12_000, &headers, b"{}"))?;
    record.line(&format!("client {number}: {id} sent"));
    let head = read_head(&mut client.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(&format!("client {number}: {id}: {}", head.start));
    let mut events = 0;
    let end = loop {
        match read_chunk(&mut client.reader) {
            Ok(chunk) if chunk.is_empty() => break "complete".to_owned(),
            Ok(chunk) => {
                let text = String::from_utf8_lossy(&chunk).into_owned();
                events += text.lines().filter(|line| line.starts_with("id: ")).count() as u64;
            }
            Err(error) => break format!("cut: {error}"),
        }
    };
    record.say(&format!(
        "client {number}: {id}: {} with {events} of {EVENTS} events, {end}",
        head.status()
    ));
    Ok(events)
}
