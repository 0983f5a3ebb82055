//! Stand-ins of the second review: the platform's store, engines, consumers, and the routers as
//! processes. Uses the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// `PR_SET_PDEATHSIG` and `SIGKILL` of Linux.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
/// Processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the case as not run.
fn give_up(reason: &str) -> ! {
    eprintln!("{reason}");
    record(reason);
    for pid in PROCESSES.lock().unwrap().drain(..) {
        Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status()
            .ok();
    }
    std::process::exit(NOT_RUN);
}

/// Returns the seconds since the start of the case.
pub fn now_s() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt")).expect("record.txt can't be written");
    RECORD.set(Mutex::new(file)).ok();
}

/// Writes a line to the record, with the time.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let text = format!("{:9.3} {line}\n", now_s());
        file.lock().unwrap().write_all(text.as_bytes()).ok();
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Ports for listeners, below those that the system gives to outgoing channels.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;

/// Returns an address of the loopback interface with a free port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = std::process::id() as u16 % 997 * 17;
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset % PORTS + step % PORTS) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    give_up("no free port")
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Sleeps until a time of the case, in seconds since its start.
pub fn sleep_until(at_s: f64) {
    let left = at_s - now_s();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

// ---- HTTP/1.1

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or("").trim().to_owned();
    let size = usize::from_str_radix(&size, 16)
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads a body by its length or its chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Message) -> std::io::Result<Vec<u8>> {
    let is_chunked = head
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let mut message = read_head(reader)?;
    message.body = read_body(reader, &message)?;
    Ok(message)
}

// ---- The platform's store

#[derive(Debug, Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
    extra: String,
}

#[derive(Debug, Clone)]
struct StoredEvent {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: VecDeque<StoredEvent>,
}

/// The platform's store: objects by kind and name, listings and watches.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn object_json(name: &str, object: &StoredObject) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\
         \"Deletion\":false}},\"Spec\":{},\"Status\":null{}}}",
        object.revision, object.created, object.spec, object.extra
    )
}

/// Returns the JSON value of a field, found by its first occurrence.
pub fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let start = text.find(&key)? + key.len();
    let rest = text[start..].trim_start();
    let mut depth = 0;
    let mut in_text = false;
    let mut is_escaped = false;
    for (index, byte) in rest.bytes().enumerate() {
        if in_text {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            if !in_text && depth == 0 {
                return Some(&rest[..=index]);
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(rest[..index].trim_end()),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=index]);
                }
            }
            b',' if depth == 0 => return Some(rest[..index].trim_end()),
            _ => {}
        }
    }
    None
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store can't listen");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(StoreState {
                revision: 100,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>, extra: &str) -> String {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if let (Some(known), Some(spec)) = (&known, &spec)
            && known.spec == *spec
            && known.extra == extra
        {
            return object_json(name, known);
        }
        state.revision += 1;
        let revision = state.revision;
        let deleted = spec.is_none();
        let object = StoredObject {
            revision,
            created: known.as_ref().map_or(revision, |known| known.created),
            spec: spec.unwrap_or_else(|| {
                known
                    .as_ref()
                    .map_or_else(|| "null".into(), |known| known.spec.clone())
            }),
            extra: extra.to_owned(),
        };
        let text = object_json(name, &object);
        if deleted {
            state.objects.remove(&key);
        } else {
            state.objects.insert(key, object);
        }
        state.history.push_back(StoredEvent {
            revision,
            kind: kind.to_owned(),
            object: text.clone(),
            deleted,
        });
        if state.history.len() > 20_000 {
            state.history.pop_front();
        }
        self.changed.notify_all();
        text
    }

    /// Writes an object, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec.to_owned()), "");
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(kind, name, None, "");
    }

    /// Returns the names and the contents of the objects of a kind.
    pub fn objects(&self, kind: &str) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter().filter(|((found, _), _)| found == kind);
        objects
            .map(|((_, name), object)| (name.clone(), object.spec.clone()))
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let mut writer = stream;
        while let Ok(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            sleep_ms(2);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query_value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value)
        };
        let Some(rest) = path.strip_prefix("/briarrail/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let text_of = |value: &str| value.trim_matches('"').to_owned();
        match (request.method(), name) {
            ("GET", None) => match query_value("Watch").and_then(|text| text.parse().ok()) {
                Some(revision) => {
                    let wait = query_value("WaitMs").and_then(|text| text.parse().ok());
                    (200, self.watch(kind, revision, wait.unwrap_or(0)))
                }
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key) {
                    Some(object) => (200, object_json(name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", None) => {
                let name = json_field(&body, "Name").map(text_of).unwrap_or_default();
                let key = (kind.to_owned(), name.clone());
                let known = self.state.lock().unwrap().objects.get(&key).cloned();
                if let Some(known) = known {
                    return (409, object_json(&name, &known));
                }
                let spec = json_field(&body, "Spec").unwrap_or("null").to_owned();
                (200, self.change(kind, &name, Some(spec), ""))
            }
            ("PUT", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                if !self.state.lock().unwrap().objects.contains_key(&key) {
                    return (404, "{}".into());
                }
                let spec = json_field(&body, "Spec").unwrap_or("null").to_owned();
                (200, self.change(kind, name, Some(spec), ""))
            }
            ("DELETE", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                if !self.state.lock().unwrap().objects.contains_key(&key) {
                    return (404, "{}".into());
                }
                (200, self.change(kind, name, None, ""))
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter().filter(|((found, _), _)| found == kind);
        let items: Vec<String> = objects
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        format!(
            "{{\"Items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let news = state
                .history
                .iter()
                .filter(|event| event.revision > revision && event.kind == kind);
            let events: Vec<String> = news
                .map(|event| {
                    format!(
                        "{{\"Deleted\":{},\"Object\":{}}}",
                        event.deleted, event.object
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---- Links

/// A proxy in front of an address, which can be cut: it then passes nothing on, in silence, and goes on
/// when the cut has healed.
#[derive(Debug)]
pub struct CutProxy {
    pub address: SocketAddr,
    is_cut: AtomicBool,
}

impl CutProxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a proxy can't listen");
        let proxy = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            is_cut: AtomicBool::new(false),
        });
        let server = Arc::clone(&proxy);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.connect(near, target));
            }
        });
        proxy
    }

    pub fn set_cut(&self, is_cut: bool) {
        record(if is_cut {
            "the link is cut"
        } else {
            "the link has healed"
        });
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn wait_whole(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            sleep_ms(5);
        }
    }

    fn connect(self: Arc<Self>, near: TcpStream, target: SocketAddr) {
        self.wait_whole();
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        near.set_nodelay(true).ok();
        far.set_nodelay(true).ok();
        let (Ok(near_clone), Ok(far_clone)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let proxy = Arc::clone(&self);
        thread::spawn(move || proxy.pass_on(near_clone, far_clone));
        self.pass_on(far, near);
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16_384];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            self.wait_whole();
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                to.shutdown(Shutdown::Both).ok();
                from.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }
}

// ---- The operator

#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub resumable: bool,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub max_attempts: u32,
    pub sticky: bool,
}

/// Returns a config; a service with slots is one of model engines.
pub fn config(
    version: u64,
    routes: &[Route],
    services: &[(&str, bool)],
    tenants: &[(&str, &str)],
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"Name\":\"{}\",\"Host\":\"site.example\",\"PathPrefix\":\"{}\",\"RouteKind\":\"{}\",\
                 \"TimeoutMs\":{},\"SloMs\":{},\"Priority\":0,\"Service\":\"{}\",\"MaxAttempts\":{},\
                 \"Public\":false,\"Sticky\":{},\"Resumable\":{},\"ItlTargetMs\":400}}",
                route.name,
                route.prefix,
                route.kind,
                route.timeout_ms,
                route.objective_ms,
                route.service,
                route.max_attempts,
                route.sticky,
                route.resumable
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, is_model)| {
            let engine = if *is_model {
                ",\"Engine\":{\"Slots\":64,\"KvCapacity\":697428}"
            } else {
                ""
            };
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\
                 \"Tls\":false{engine}}}"
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, key)| format!("{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"]}}"))
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

// ---- Routers

/// A router process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A folder for settings and logs, which is removed when it is dropped.
#[derive(Debug)]
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> Self {
        let name = format!("briarrail-review-2-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("no temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}

/// Limits and bounds of `sites/saltlog-ke.toml`, as `deploy/settings.template.jsonc` fills them in.
const SETTINGS: &str = r#"{
    "host": { "name": "@name", "data_centre": "@zone" },
    "data_centre_regions": { "gongoni": "coast", "marereni": "coast", "fundisa": "coast", "malindi-depot": "coast" },
    "callers": { "listen": "@callers" },
    "readiness": { "listen": "@readiness" },
    "peers": { "listen": "@peers" },
    "metrics": { "listen": "@metrics" },
    "store": { "address": "@store" },
    "exchange_key": "briarrail-exchange-of-this-site",
    "link_mbps": 1000.0,
    "core_share": 0.25,
    "max_descriptors": 4100,
    "memory_mb": 260,
    "fleet": {
        "stop_grace_s": 8,
        "retry_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 58,
        "load_ratio": 2
    },
    "logs": { "format": "json", "filter": "info" }
}
"#;

impl Router {
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let mut router = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address(),
            readiness: free_address(),
            peers: free_address(),
            metrics: free_address(),
            settings: folder.join(format!("{name}.jsonc")),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        let text = SETTINGS
            .replace("@name", name)
            .replace("@zone", zone)
            .replace("@callers", &router.callers.to_string())
            .replace("@readiness", &router.readiness.to_string())
            .replace("@peers", &router.peers.to_string())
            .replace("@metrics", &router.metrics.to_string())
            .replace("@store", &store.to_string());
        fs::write(&router.settings, text).expect("settings can't be written");
        router.spawn();
        router
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log can't be written");
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/briarrail_edge");
        command
            .env("BRIARRAIL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // The router ends with the case, also when that is interrupted or panics. The signal
        // comes when the thread ends that starts the router, which is the main one.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, KILL, 0u64, 0u64, 0u64);
                Ok(())
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => {
                PROCESSES.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => give_up(&format!(
                "target/release/briarrail_edge does not start: {error}"
            )),
        }
        record(&format!("router {} starts at {}", self.name, self.callers));
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&self.readiness, Duration::from_millis(300))
        else {
            return false;
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok();
        let request = "GET /briarrail/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        read_head(&mut BufReader::new(stream)).is_ok_and(|head| head.status() == 200)
    }

    /// Waits until the router is ready, or ends the case as not run.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return;
            }
            sleep_ms(50);
        }
        give_up(&format!("router {} does not get ready", self.name));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            Command::new("kill").args([name, &pid]).status().ok();
            record(&format!("router {} gets {name}", self.name));
        }
    }

    pub fn stop(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
            record(&format!("router {} is killed", self.name));
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- Engines

/// What an engine may do with a request that it has read.
pub type Answer = dyn Fn(&Engine, &Message, &mut TcpStream) -> bool + Send + Sync;

/// An engine on an address of its own.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    version: Mutex<String>,
    pub address: SocketAddr,
    pub slots: u32,
    store: Arc<Store>,
    listener: Mutex<Option<TcpListener>>,
    streams: Mutex<Vec<TcpStream>>,
    born: Mutex<u64>,
    sequence: Mutex<u64>,
    answer: Box<Answer>,
}

impl Engine {
    /// Starts an engine; `answer` writes the response to a request and returns whether the channel
    /// is kept.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        answer: Box<Answer>,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: Mutex::new(version.to_owned()),
            address: free_address(),
            slots: 64,
            store: Arc::clone(store),
            listener: Mutex::default(),
            streams: Mutex::default(),
            born: Mutex::new(0),
            sequence: Mutex::new(0),
            answer,
        });
        engine.begin();
        engine
    }

    /// Starts a lifetime: listens, and writes its entry.
    pub fn begin(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("an engine can't listen");
        listener.set_nonblocking(true).unwrap();
        *self.listener.lock().unwrap() = Some(listener);
        *self.born.lock().unwrap() = unix_ms();
        *self.sequence.lock().unwrap() = 0;
        let engine = Arc::clone(self);
        thread::spawn(move || engine.accept());
        self.write_entry("ready");
    }

    /// Writes the entry in the store.
    pub fn write_entry(&self, state: &str) {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let spec = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":{},\
             \"State\":\"{state}\",\"ColdLeftMs\":0,\"Phase\":\"colocated\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version(),
            self.slots,
            self.born.lock().unwrap()
        );
        self.store.put("servers", &self.id, &spec);
    }

    pub fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    /// Sets the version of the software for the lifetimes that follow.
    pub fn set_version(&self, version: &str) {
        *self.version.lock().unwrap() = version.to_owned();
    }

    pub fn is_up(&self) -> bool {
        self.listener.lock().unwrap().is_some()
    }

    /// Crashes: all channels break, and the address refuses new ones.
    pub fn crash(&self) {
        *self.listener.lock().unwrap() = None;
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    fn accept(self: Arc<Self>) {
        loop {
            let accepted = match &*self.listener.lock().unwrap() {
                Some(listener) => listener.accept(),
                None => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    if let Ok(clone) = stream.try_clone() {
                        self.streams.lock().unwrap().push(clone);
                    }
                    let engine = Arc::clone(&self);
                    thread::spawn(move || engine.serve(stream));
                }
                Err(_) => sleep_ms(2),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(request) = read_message(&mut reader) {
            let expected = request.header("briarrail-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nBriarrail-Instance-Id: {}\r\n\
                     Briarrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !(self.answer)(self, &request, &mut stream) {
                stream.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }
}

/// Returns the head of a successful answer, with the id of its request.
pub fn answer_head(request: &Message, more: &str) -> String {
    let id = request.header("briarrail-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nBriarrail-Attempt-Id: {id}\r\nBriarrail-Engine-Seal: 3e1b.07.{id}\r\n{more}\r\n"
    )
}

/// Writes a chunk of a body.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---- Consumers

/// What a consumer saw of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Status of the answer; 0 if none came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the answer was complete.
    pub is_complete: bool,
    pub sent_s: f64,
    pub ended_s: f64,
}

impl Outcome {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a channel of its own and reads the answer up to the deadline.
pub fn send_request(router: SocketAddr, head: &str, body: &str, deadline: Duration) -> Outcome {
    let mut outcome = Outcome {
        sent_s: now_s(),
        ..Outcome::default()
    };
    read_answer(router, head, body, deadline, &mut outcome);
    outcome.ended_s = now_s();
    outcome
}

fn read_answer(
    router: SocketAddr,
    head: &str,
    body: &str,
    deadline: Duration,
    outcome: &mut Outcome,
) {
    let end = Instant::now() + deadline;
    let Ok(mut stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
        return;
    };
    stream.set_nodelay(true).ok();
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    if stream.write_all(text.as_bytes()).is_err() {
        return;
    }
    let set_timeout = |stream: &TcpStream| {
        let left = end.saturating_duration_since(Instant::now());
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok();
        !left.is_zero()
    };
    set_timeout(&stream);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    let Ok(answer) = read_head(&mut reader) else {
        return;
    };
    outcome.status = answer.status();
    outcome.headers.clone_from(&answer.headers);
    let is_chunked = answer.header("transfer-encoding").is_some();
    if !is_chunked {
        if let Ok(body) = read_body(&mut reader, &answer) {
            outcome.body = String::from_utf8_lossy(&body).into_owned();
            outcome.is_complete = true;
        }
        return;
    }
    while set_timeout(&stream) {
        match read_chunk(&mut reader) {
            Ok(chunk) if chunk.is_empty() => {
                outcome.is_complete = true;
                return;
            }
            Ok(chunk) => outcome.body.push_str(&String::from_utf8_lossy(&chunk)),
            Err(_) => return,
        }
    }
}
