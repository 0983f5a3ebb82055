//! The servers of a plain service work slowly, so that deadlines pass in their queues.

#[path = "../standin/kit.rs"]
mod kit;

use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use kit::*;

/// `ContactMs` of the small deployments.
const CONTACT_MS: u64 = 3_000;
/// `HeartbeatMs` of the small deployments.
const HEARTBEAT_MS: u64 = 1_200;
/// `TimeoutMs` of the route, and the time after it in which the rule asks for an answer.
const TIMEOUT_MS: u64 = 400;
const SLACK_MS: u64 = 500;
/// Time a consumer waits for a whole call, the deadline of its first attempt.
const DEADLINE_MS: u64 = 1_000;
/// Work of a server for one request, and how many times as long a slow one takes.
const WORK_MS: u64 = 30;
const SLOWNESS: u64 = 8;
/// Requests that a server works on at a time, and that it keeps waiting; then it answers 503.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// One in so many runs ends with the server's own 500, as on ordinary days of this service.
const ERROR_ONE_IN: u64 = 10;
/// Calls of consumers at each router in a second, and the consumers that make them.
const CALLS_PER_S: u64 = 30;
const CONSUMERS: u64 = 60;
/// Length and number of the times in which the servers are slow, and the pause after each.
const SLOW_MS: u64 = 6_500;
const PAUSE_MS: u64 = 1_500;
const EPISODES: u64 = 9;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let code = play(&record);
    std::process::exit(code);
}

/// Returns numbers that are spread evenly.
fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(1);
    let mut number = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A plain service with slots and a queue, and a clock of whole milliseconds.
struct QueuedService {
    /// Times at which the slots are free.
    slots: Mutex<Vec<u64>>,
    present: AtomicU64,
    is_slow: Arc<AtomicBool>,
}

impl QueuedService {
    fn new(is_slow: &Arc<AtomicBool>) -> Self {
        Self {
            slots: Mutex::new(vec![0; SLOTS]),
            present: AtomicU64::new(0),
            is_slow: Arc::clone(is_slow),
        }
    }

    /// Waits for a slot; returns whether there was one before the deadline.
    fn enter(&self, server: &Server, deadline: u64) -> Option<u64> {
        let is_slow = self.is_slow.load(Ordering::Relaxed);
        let work = if is_slow { WORK_MS * SLOWNESS } else { WORK_MS };
        // Half to one and a half times the mean.
        let work = work / 2 + random() % work;
        let now = server.record.now_ms();
        let begin = {
            let mut slots = self.slots.lock().unwrap();
            let slot = slots.iter_mut().min().expect("a slot");
            let begin = now.max(*slot);
            if begin < deadline {
                *slot = begin + work;
            }
            begin
        };
        let until = begin.min(deadline);
        while server.record.now_ms() < until {
            std::thread::sleep(std::time::Duration::from_micros(200));
        }
        (begin < deadline).then_some(work)
    }
}

impl Behaviour for QueuedService {
    fn run(&self, server: &Server, request: &Message, channel: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("briarrail-attempt-id").unwrap_or("");
        let left = request.header("briarrail-deadline-ms");
        let left: u64 = left.and_then(|left| left.parse().ok()).unwrap_or(DEADLINE_MS);
        let deadline = server.record.now_ms() + left;
        let is_full = self.present.fetch_add(1, Ordering::Relaxed) >= (SLOTS + QUEUE) as u64;
        let work = if is_full { None } else { self.enter(server, deadline) };
        let outcome = match work {
            Some(work) => {
                server.record_run(request);
                sleep_ms(work);
                if random() % ERROR_ONE_IN == 0 {
                    let seal = format!("seal.{}.{id}", server.id);
                    let headers = [
                        ("Briarrail-Attempt-Id", id),
                        ("Briarrail-Engine-Seal", seal.as_str()),
                    ];
                    channel.write_all(&answer("500 Internal Server Error", &headers, b"failed"))
                } else {
                    channel.write_all(&server.success(request, &[b'x'; 800]))
                }
            }
            None => {
                let reason = if is_full { "is full" } else { "deadline passed in the queue" };
                server.record.line(&format!("server {} refuses {id}: {reason}", server.id));
                let headers = [("Briarrail-Attempt-Id", id), ("Briarrail-Not-Executed", "1")];
                channel.write_all(&answer("503 Service Unavailable", &headers, b""))
            }
        };
        self.present.fetch_sub(1, Ordering::Relaxed);
        outcome.map(|()| true)
    }
}

fn play(record: &Record) -> i32 {
    let temp = TempFolder::create();
    let store = Store::start(record);
    let route = Route {
        prefix: "/cufi504/",
        kind: "idempotent",
        service: "weighbridge",
        timeout_ms: TIMEOUT_MS,
        slo_ms: 150,
        attempts: 2,
        resumable: false,
    };
    store.put("operator", "config", "main", &config(1, &[route], &[("weighbridge", 110, false)]));
    let is_slow = Arc::new(AtomicBool::new(false));
    let zones = ["gongoni", "marereni", "fundisa", "malindi-depot"];
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let id = format!("i-{number}");
            let service = QueuedService::new(&is_slow);
            Server::start(record, &id, "weighbridge", zones[number], SLOTS as u32, service)
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
    let mut routers: Vec<Router> = zones[..3]
        .iter()
        .map(|zone| Router::start(record, &temp.0, &format!("edge-{zone}-1"), zone, store.address))
        .collect();
    for router in &mut routers {
        router.wait_ready();
    }
    sleep_ms(1_500);
    let before = ask_all(record, &routers, 4_000);
    if before.iter().any(|seen| seen.answered() == 0) {
        give_up(record, "the routers don't serve before the disruption");
    }
    let slow = std::thread::scope(|scope| {
        scope.spawn(|| {
            for episode in 0..EPISODES {
                is_slow.store(has_trouble(), Ordering::Relaxed);
                record.line(&format!("episode {episode}: slow servers: {}", has_trouble()));
                sleep_ms(SLOW_MS);
                is_slow.store(false, Ordering::Relaxed);
                record.line("all servers are sound");
                sleep_ms(PAUSE_MS);
            }
        });
        ask_all(record, &routers, EPISODES * (SLOW_MS + PAUSE_MS))
    });
    // The servers are sound again; ContactMs later the machines would be in touch in any case.
    sleep_ms(CONTACT_MS);
    let after = ask_all(record, &routers, 4 * CONTACT_MS);
    for (router, slow) in routers.iter().zip(&slow) {
        record.say(&format!("{}: in the episodes: {}", router.name, slow.text()));
    }
    let mut broken = Vec::new();
    for (router, after) in routers.iter_mut().zip(&after) {
        let is_running = router.is_running();
        record.say(&format!(
            "{}: after them: process running: {is_running}, {}",
            router.name,
            after.text()
        ));
        // RECOVER: ready all the while, and no new channel taken for ContactMs.
        let not_ready = after.not_ready.load(Ordering::Relaxed);
        let longest = after.longest_without_channel.load(Ordering::Relaxed);
        if not_ready == 0 && longest >= CONTACT_MS {
            broken.push(router.name.clone());
        }
    }
    if broken.is_empty() {
        record.say("RECOVER held");
        return HELD;
    }
    record.say(&format!(
        "RECOVER broken: ready, but no new channel for {CONTACT_MS} ms or more while {CONSUMERS} \
         consumers tried: {}",
        broken.join(", ")
    ));
    BROKEN
}

/// What the consumers and the platform saw of one router.
#[derive(Default)]
struct Seen {
    statuses: Tally,
    /// Requests without a final answer at `TimeoutMs`.
    late: AtomicU64,
    /// Requests without a final answer half a second later.
    never: AtomicU64,
    no_channel: AtomicU64,
    /// Time of the last new channel, and the longest time without one.
    last_channel: AtomicU64,
    longest_without_channel: AtomicU64,
    ready: AtomicU64,
    not_ready: AtomicU64,
}

impl Seen {
    fn answered(&self) -> u64 {
        self.statuses.0.lock().unwrap().values().sum()
    }

    fn text(&self) -> String {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "answers {}; without an answer at TimeoutMs {}, {SLACK_MS} ms later {}; no channel {}, \
             longest time without a new channel {} ms (ContactMs {CONTACT_MS}); ready {} of {} times",
            self.statuses.text(),
            load(&self.late),
            load(&self.never),
            load(&self.no_channel),
            load(&self.longest_without_channel),
            load(&self.ready),
            load(&self.ready) + load(&self.not_ready)
        )
    }
}

fn ask_all(record: &Record, routers: &[Router], for_ms: u64) -> Vec<Seen> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = routers
            .iter()
            .map(|router| scope.spawn(move || ask(record, router, for_ms)))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    })
}

fn ask(record: &Record, router: &Router, for_ms: u64) -> Seen {
    let seen = Seen::default();
    let start = record.now_ms();
    let end = start + for_ms;
    seen.last_channel.store(start, Ordering::Relaxed);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while record.now_ms() < end {
                let status = router.readiness();
                record.line(&format!("{}: readyz {status}", router.name));
                let count = if status == 200 { &seen.ready } else { &seen.not_ready };
                count.fetch_add(1, Ordering::Relaxed);
                sleep_ms(1_000);
            }
        });
        for number in 0..CONSUMERS {
            let seen = &seen;
            scope.spawn(move || {
                // Each consumer calls at its own times, whatever became of the call before.
                let period = 1_000 * CONSUMERS / CALLS_PER_S;
                let mut next = start + random() % period;
                while next < end {
                    sleep_ms(next.saturating_sub(record.now_ms()));
                    call(record, router, number, seen);
                    next = record.now_ms().max(next + period / 2 + random() % period);
                }
            });
        }
    });
    let last = seen.last_channel.load(Ordering::Relaxed);
    seen.longest_without_channel.fetch_max(end.saturating_sub(last), Ordering::Relaxed);
    seen
}

/// One call of a consumer: a first attempt, and one retry in the time that is left.
fn call(record: &Record, router: &Router, number: u64, seen: &Seen) {
    let start = record.now_ms();
    for attempt in 0..2 {
        let passed = record.now_ms() - start;
        if passed + 10 >= DEADLINE_MS {
            return;
        }
        let left = DEADLINE_MS - passed;
        match send(record, router, number, left, seen) {
            Some((503, retry_after_ms)) if attempt == 0 => {
                // Honoured up to a third of the time that is left.
                if retry_after_ms * 3 > left {
                    return;
                }
                sleep_ms(retry_after_ms);
            }
            Some((status, _)) if status >= 500 => {}
            _ => return,
        }
    }
}

/// One attempt on a new channel; returns the status and the time of `Retry-After`.
fn send(
    record: &Record,
    router: &Router,
    number: u64,
    left: u64,
    seen: &Seen,
) -> Option<(u16, u64)> {
    let name = &router.name;
    let id = attempt_id();
    let Ok(mut channel) = Client::connect(router.front, 1_000) else {
        record.line(&format!("consumer {number} at {name}: {id}: no channel"));
        seen.no_channel.fetch_add(1, Ordering::Relaxed);
        return None;
    };
    let now = record.now_ms();
    let before = seen.last_channel.swap(now, Ordering::Relaxed);
    seen.longest_without_channel.fetch_max(now.saturating_sub(before), Ordering::Relaxed);
    let path = format!("/cufi504/{number}/2f");
    let request = client_request("GET", &path, &id, left, &[], b"");
    let outcome = channel.exchange(&request, TIMEOUT_MS + SLACK_MS);
    let lasted = record.now_ms() - now;
    if lasted >= TIMEOUT_MS {
        seen.late.fetch_add(1, Ordering::Relaxed);
    }
    match outcome {
        Ok(answer) => {
            let status = answer.status();
            record.line(&format!(
                "consumer {number} at {name}: {id} with {left} ms: {status} after {lasted} ms"
            ));
            seen.statuses.add(&status.to_string());
            let retry_after = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
            Some((status, (retry_after.unwrap_or(0.0) * 1_000.0) as u64))
        }
        Err(error) => {
            record.line(&format!(
                "consumer {number} at {name}: {id} with {left} ms: no answer after {lasted} ms: {error}"
            ));
            if lasted + 20 >= TIMEOUT_MS + SLACK_MS {
                seen.never.fetch_add(1, Ordering::Relaxed);
            } else {
                seen.statuses.add("closed");
            }
            None
        }
    }
}
