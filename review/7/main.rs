//! A router's machine goes dark while a release begins. Consumers take its streams up at the other
//! routers, which can't tell at which software version the streams began.

#[path = "../standin-2/kit.rs"]
mod kit;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Engine, Message, Route, Router, Store, TempFolder};

const FOLDER: &str = "review/7";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ZONES: [&str; 4] = ["gongoni", "marereni", "fundisa", "malindi-depot"];
const ROUTERS: usize = 6;
/// The router whose machine goes dark.
const LOST: usize = 1;
const ENGINES: usize = 4;
const STREAMS: usize = 96;
const EVENTS: u64 = 100;
const EVENT_GAP_MS: u64 = 80;
/// Gap after which a consumer abandons a stream: eight times the pause of 400 ms.
const MAX_GAP: Duration = Duration::from_millis(3_200);
const DEADLINE: Duration = Duration::from_secs(12);
/// Time from the loss of the machine to the start of the release's first engine.
const RELEASE_DELAY_MS: u64 = 1_000;

/// What a consumer received of a stream: the numbers of its events, and the software version of the
/// engine that sent each.
type Events = Vec<(u64, String)>;

struct Attempt {
    status: u16,
    retry_after: f64,
    text: String,
    is_complete: bool,
}

/// Sends one consumer attempt and reads its events, until a gap, a break, its end or `close_at`.
fn attempt(
    router: SocketAddr,
    id: &str,
    resumed: Option<(u64, &str)>,
    deadline: Instant,
    close_at: Option<Instant>,
    events: &mut Events,
) -> Attempt {
    let mut result = Attempt {
        status: 0,
        retry_after: 0.0,
        text: String::new(),
        is_complete: false,
    };
    let left_ms = deadline
        .saturating_duration_since(Instant::now())
        .as_millis();
    let mut head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: site.example\r\nBriarrail-Attempt-Id: {id}\r\n\
         Briarrail-Model: m\r\nBriarrail-Token-Usage: 960,400\r\n\
         Briarrail-Prefix-Hash: 5c1e07a2:800,91bd3f06:110,{}:50\r\nBriarrail-Deadline-Ms: {left_ms}\r\n\
         Authorization: Token {KEY}\r\n",
        &id[8..16]
    );
    if let Some((last_event, first_attempt)) = resumed {
        head.push_str(&format!(
            "Last-Event-Id: {last_event}\r\nResumes: {first_attempt}\r\n"
        ));
    }
    head.push_str("Content-Length: 2\r\n\r\n{}");
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
        return result;
    };
    if stream.write_all(head.as_bytes()).is_err() {
        return result;
    }
    stream.set_read_timeout(Some(MAX_GAP)).ok();
    let Ok(clone) = stream.try_clone() else {
        return result;
    };
    let mut reader = BufReader::new(clone);
    let Ok(answer) = kit::read_head(&mut reader) else {
        return result;
    };
    result.status = answer.status();
    if result.status != 200 {
        let body = kit::read_body(&mut reader, &answer).unwrap_or_default();
        result.text = String::from_utf8_lossy(&body).into_owned();
        let seconds = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        result.retry_after = seconds.unwrap_or(0.0);
        return result;
    }
    let mut text = String::new();
    loop {
        if close_at.is_some_and(|at| Instant::now() >= at) {
            return result;
        }
        match kit::read_chunk(&mut reader) {
            Ok(chunk) if chunk.is_empty() => {
                result.is_complete = true;
                return result;
            }
            Ok(chunk) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => return result,
        }
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let field = |name: &str| {
                let mut lines = event.lines();
                lines.find_map(|line| line.strip_prefix(name).map(str::to_owned))
            };
            let number = field("id: ").and_then(|text| text.parse().ok());
            events.push((
                number.unwrap_or(u64::MAX),
                field("data: ").unwrap_or_default(),
            ));
        }
    }
}

fn start_engine(store: &Arc<Store>, index: usize, version: &'static str) -> Arc<Engine> {
    let answer = move |engine: &Engine, request: &Message, stream: &mut TcpStream| {
        let id = request.header("briarrail-attempt-id").unwrap_or("");
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let first = last.map_or(0, |last: u64| last + 1);
        kit::record(&format!(
            "engine {} ({version}) runs {id} from event {first}",
            engine.id
        ));
        kit::sleep_ms(30);
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                    Briarrail-Engine-Load: 1,0,64\r\n";
        let head = kit::answer_head(request, more);
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first..EVENTS {
            if kit::write_chunk(stream, &format!("id: {event}\ndata: {version}\n\n")).is_err() {
                return false;
            }
            kit::sleep_ms(EVENT_GAP_MS);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    };
    let id = format!("i-{version}{index:06x}");
    let zone = ZONES[index % ZONES.len()];
    Engine::start(store, &id, "pan-model", zone, version, Box::new(answer))
}

#[derive(Default)]
struct Counts {
    /// New streams, and those of them that began.
    new: (usize, usize),
    /// Streams that were taken up again, and those of them that went on.
    taken_up: (usize, usize),
    /// Streams with events of two software versions.
    mixed: usize,
}

fn main() {
    kit::open_record(Path::new(FOLDER));
    kit::now_s();
    let has_trouble = kit::has_trouble();
    kit::record(&format!("TROUBLE {}", u8::from(has_trouble)));
    let folder = TempFolder::new();
    let store = Store::start();
    let digest = Route {
        name: "r-digest",
        prefix: "/lohu930/",
        kind: "streaming",
        resumable: true,
        service: "pan-model",
        timeout_ms: 12_000,
        objective_ms: 600,
        max_attempts: 2,
        sticky: true,
    };
    let config = kit::config(7, &[digest], &[("pan-model", true)], &[("hule930", KEY)]);
    store.put("config", "main", &config);
    let engines: Vec<_> = (0..ENGINES)
        .map(|index| start_engine(&store, index, "v1"))
        .collect();
    let routers: Vec<Router> = (0..ROUTERS)
        .map(|index| {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            Router::start(&folder.0, &name, zone, store.address)
        })
        .collect();
    for router in &routers {
        router.wait_ready();
    }
    // More than ContactMs, so that all machines are in touch.
    kit::sleep_ms(5_000);
    let addresses: Vec<_> = routers.iter().map(|router| router.callers).collect();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let lost_at = Instant::now() + Duration::from_millis(3_000);
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (addresses, counts) = (addresses.clone(), Arc::clone(&counts));
            thread::spawn(move || {
                kit::sleep_ms(number as u64 * 20);
                let deadline = Instant::now() + DEADLINE;
                let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64 * 65_537);
                let first = number % ROUTERS;
                // Without the disruption the channels break at the consumers.
                let close_at = (first == LOST && !has_trouble).then(|| lost_at + MAX_GAP);
                let mut events = Events::new();
                let began = attempt(addresses[first], &id, None, deadline, close_at, &mut events);
                let mut counted = counts.lock().unwrap();
                counted.new.0 += 1;
                counted.new.1 += usize::from(!events.is_empty());
                drop(counted);
                kit::record(&format!(
                    "stream {id} at router {first}: status {}, {} events, complete {}",
                    began.status,
                    events.len(),
                    began.is_complete
                ));
                let Some((last_event, _)) = events.last().cloned().filter(|_| !began.is_complete) else {
                    return;
                };
                let other = (LOST + 1 + number / ROUTERS % (ROUTERS - 1)) % ROUTERS;
                let before = events.len();
                for retry in 0..2 {
                    let next_id = format!("{:016x}", 0xb000_0000_0000_0000_u64 + (number * 4 + retry) as u64);
                    let resumed = Some((last_event, id.as_str()));
                    let router = addresses[(other + retry * (ROUTERS - 1)) % ROUTERS];
                    let router = if router == addresses[LOST] { addresses[0] } else { router };
                    let taken = attempt(router, &next_id, resumed, deadline, None, &mut events);
                    kit::record(&format!(
                        "stream {id} taken up by {next_id} after event {last_event}: status {}, {} events, {}",
                        taken.status,
                        events.len() - before,
                        taken.text
                    ));
                    if events.len() > before {
                        break;
                    }
                    thread::sleep(Duration::from_secs_f64(taken.retry_after.min(3.0)));
                }
                let versions: BTreeSet<_> = events.iter().map(|(_, version)| version).collect();
                let mut counted = counts.lock().unwrap();
                counted.taken_up.0 += 1;
                counted.taken_up.1 += usize::from(events.len() > before);
                counted.mixed += usize::from(versions.len() > 1);
            })
        })
        .collect();
    thread::sleep(lost_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        routers[LOST].stop();
    }
    kit::sleep_ms(RELEASE_DELAY_MS);
    kit::record("the first engine of v2 starts");
    let _newcomer = start_engine(&store, ENGINES, "v2");
    for consumer in consumers {
        consumer.join().ok();
    }
    let counted = counts.lock().unwrap();
    let share = |(all, good): (usize, usize)| good as f64 / all.max(1) as f64;
    let verdict = format!(
        "{} of {} new streams began; {} of {} that were taken up went on; {} with two versions",
        counted.new.1, counted.new.0, counted.taken_up.1, counted.taken_up.0, counted.mixed
    );
    kit::record(&verdict);
    println!("{verdict}");
    drop(routers);
    drop(folder);
    drop(engines);
    let code = if counted.taken_up.0 < 12 || share(counted.new) < 0.9 {
        kit::NOT_RUN
    } else if share(counted.taken_up) < share(counted.new) / 2.0 || counted.mixed > 2 {
        kit::BROKEN
    } else {
        kit::HELD
    };
    kit::record(&format!("exit {code}"));
    std::process::exit(code);
}
