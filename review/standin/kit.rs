//! Stand-ins for the scripts of the review: store, servers, clients and router processes.
//!
//! Only the standard library is used, so that a plain `rustc` builds them without a network.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Reports that the case can't run, and ends.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.line(&format!("NOT RUN: {reason}"));
    eprintln!("not run: {reason}");
    std::process::exit(NOT_RUN);
}

// ---------------------------------------------------------------------------------------------
// Record

/// Writes what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(NOT_RUN);
        });
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------------------------------------
// JSON, as far as the store needs it

/// Returns the end of the JSON value that starts at `at`.
fn value_end(text: &[u8], mut at: usize) -> usize {
    let mut depth = 0i32;
    let mut in_string = false;
    while at < text.len() {
        let byte = text[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    if depth == 0 {
                        return at;
                    }
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    at
}

/// Returns the encoded value of a field of a JSON object.
pub fn json_field(object: &str, field: &str) -> Option<String> {
    let bytes = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        if at >= bytes.len() || bytes[at] != b'"' {
            return None;
        }
        let end = value_end(bytes, at);
        let name = &object[at + 1..end - 1];
        at = end;
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b':') {
            at += 1;
        }
        let end = value_end(bytes, at);
        if name == field {
            return Some(object[at..end].trim().to_owned());
        }
        at = end;
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)?;
        Some(percent_decode(pair.1))
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the first line and the headers; `None` at the end of the channel.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if message.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            if line.is_empty() {
                continue;
            }
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a body in chunks; an empty one is the last.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads the body that belongs to a head.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads a request with its body; `None` at the end of the channel.
pub fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Objects {
    revision: u64,
    current: BTreeMap<(String, String), String>,
    /// Revision, kind, object, and whether it was deleted.
    history: Vec<(u64, String, String, bool)>,
    /// Time and name of each change in the history.
    changes: Vec<(Instant, String)>,
}

/// The store: one revision counter, lists, watches and conditional-free writes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
    pub is_silent: Arc<AtomicBool>,
    /// Age of the lists that calls with `AllowStale` get.
    pub stale_ms: Arc<AtomicU64>,
    record: Record,
}

const STORE_PAGE: usize = 500;

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            objects: Arc::default(),
            is_silent: Arc::default(),
            stale_ms: Arc::default(),
            record: record.clone(),
        };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator, a server or another writer does; returns the time of the
    /// acknowledgement.
    pub fn put(&self, writer: &str, kind: &str, name: &str, spec: &str) -> u64 {
        let (lock, changed) = &*self.objects;
        {
            let mut objects = lock.lock().unwrap();
            let key = (kind.to_owned(), name.to_owned());
            let same = objects
                .current
                .get(&key)
                .and_then(|object| json_field(object, "Spec"))
                .is_some_and(|known| known == spec);
            if !same {
                objects.write(kind, name, spec);
            }
        }
        changed.notify_all();
        self.record
            .line(&format!("store: {writer} writes {kind}/{name}: {spec}"));
        self.record.now_ms()
    }

    pub fn delete(&self, writer: &str, kind: &str, name: &str) -> u64 {
        let (lock, changed) = &*self.objects;
        lock.lock().unwrap().delete(kind, name);
        changed.notify_all();
        self.record
            .line(&format!("store: {writer} removes {kind}/{name}"));
        self.record.now_ms()
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.objects.0.lock().unwrap();
        let keys = objects.current.keys();
        let of_kind = keys.filter(|(known, _)| known == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            while self.is_silent.load(Ordering::Relaxed) {
                sleep_ms(10);
            }
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if writer
                .write_all(&answer(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut parts = request.path().trim_start_matches('/').split('/').skip(2);
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(percent_decode);
        if let Some(revision) = request.query("Watch") {
            let wait = request.query("WaitMs").and_then(|wait| wait.parse().ok());
            return self.watch(&kind, revision.parse().unwrap_or(0), wait.unwrap_or(0));
        }
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let spec = json_field(&body, "Spec").unwrap_or_else(|| "null".into());
        let outcome = match (request.method(), name) {
            ("GET", None) => {
                let stale_ms = self.stale_ms.load(Ordering::Relaxed);
                let after = request.query("After");
                if request.query("AllowStale").is_some() && stale_ms > 0 {
                    let age = Duration::from_millis(stale_ms);
                    ("200 OK", objects.at_age(age).list(&kind, after))
                } else {
                    ("200 OK", objects.list(&kind, after))
                }
            }
            ("GET", Some(name)) => match objects.current.get(&(kind, name)) {
                Some(object) => ("200 OK", object.clone()),
                None => ("404 Not Found", "{}".into()),
            },
            ("POST", _) => {
                let metadata = json_field(&body, "Metadata").unwrap_or_default();
                let name = json_field(&metadata, "Name").unwrap_or_default();
                let name = name.trim_matches('"').to_owned();
                match objects.current.get(&(kind.clone(), name.clone())) {
                    Some(object) => ("409 Conflict", object.clone()),
                    None => ("200 OK", objects.write(&kind, &name, &spec)),
                }
            }
            ("PUT", Some(name)) => {
                let known = objects.current.get(&(kind.clone(), name.clone())).cloned();
                match known {
                    None => ("404 Not Found", "{}".into()),
                    Some(known) if json_field(&known, "Spec").as_ref() == Some(&spec) => {
                        ("200 OK", known)
                    }
                    Some(_) => ("200 OK", objects.write(&kind, &name, &spec)),
                }
            }
            ("DELETE", Some(name)) if objects.delete(&kind, &name) => ("200 OK", "{}".into()),
            _ => ("404 Not Found", "{}".into()),
        };
        drop(objects);
        changed.notify_all();
        outcome
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        loop {
            let newer = objects
                .history
                .iter()
                .filter(|(revision, known, ..)| *revision > after && known == kind);
            let events: Vec<String> = newer
                .map(|(_, _, object, deleted)| {
                    format!("{{\"Deleted\":{deleted},\"Object\":{object}}}")
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = objects.revision;
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
                return ("200 OK", body);
            }
            objects = changed.wait_timeout(objects, end - now).unwrap().0;
        }
    }
}

impl Objects {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let revision = self.revision;
        let object = format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\
             \"Finalizers\":[],\"Deletion\":false}},\"Spec\":{spec},\"Status\":null}}"
        );
        let key = (kind.to_owned(), name.to_owned());
        self.current.insert(key, object.clone());
        self.history
            .push((revision, kind.to_owned(), object.clone(), false));
        self.changes.push((Instant::now(), name.to_owned()));
        object
    }

    /// The objects as they were some time ago.
    fn at_age(&self, age: Duration) -> Self {
        let mut past = Self::default();
        for (entry, (at, name)) in self.history.iter().zip(&self.changes) {
            if at.elapsed() < age {
                break;
            }
            let (revision, kind, object, deleted) = entry;
            past.revision = *revision;
            let key = (kind.clone(), name.clone());
            if *deleted {
                past.current.remove(&key);
            } else {
                past.current.insert(key, object.clone());
            }
        }
        past
    }

    fn delete(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.current.remove(&key) else {
            return false;
        };
        self.revision += 1;
        self.history
            .push((self.revision, kind.to_owned(), object, true));
        self.changes.push((Instant::now(), name.to_owned()));
        true
    }

    fn list(&self, kind: &str, after: Option<String>) -> String {
        let after = after.unwrap_or_default();
        let of_kind = self.current.iter();
        let mut items: Vec<&str> = of_kind
            .filter(|((known, name), _)| known == kind && (after.is_empty() || *name > after))
            .map(|(_, object)| object.as_str())
            .collect();
        let has_more = items.len() > STORE_PAGE;
        items.truncate(STORE_PAGE);
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"Items\":[{items}],\"HasMore\":{has_more},\"StoreRevision\":{revision}}}")
    }
}

// ---------------------------------------------------------------------------------------------
// Servers

/// What a server is asked to do with a request; it runs on the thread of the channel.
pub trait Behaviour: Send + Sync + 'static {
    /// Answers a request that is meant for this server; returns `false` to close the channel.
    fn run(&self, server: &Server, request: &Message, channel: &mut TcpStream) -> io::Result<bool>;
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub record: Record,
    is_down: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    /// Ids of the requests that it ran, with the time.
    pub runs: Arc<Mutex<Vec<(String, u64)>>>,
    beats: Arc<AtomicU64>,
}

impl Server {
    pub fn start<B: Behaviour>(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        behaviour: B,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            slots,
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            is_down: Arc::default(),
            channels: Arc::default(),
            listener: Arc::new(Mutex::new(listener.try_clone().ok())),
            runs: Arc::default(),
            beats: Arc::default(),
        };
        let shared = server.clone();
        let behaviour = Arc::new(behaviour);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if shared.is_down.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (server, behaviour) = (shared.clone(), Arc::clone(&behaviour));
                std::thread::spawn(move || {
                    let _ = server.serve(stream, &*behaviour);
                });
            }
        });
        server
    }

    /// The entry that it writes to the store.
    pub fn entry(&self, state: &str) -> String {
        self.entry_of(&self.service, state)
    }

    /// The entry with another service.
    pub fn entry_of(&self, service: &str, state: &str) -> String {
        let seq = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        let Self {
            address,
            zone,
            version,
            slots,
            ..
        } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"{version}\",\"Slots\":{slots},\"State\":\"{state}\",\
             \"ColdLeftMs\":0,\"Seq\":{seq}}}"
        )
    }

    /// Ends the server: its channels break, and its port refuses.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.listener.lock().unwrap().take();
        // Wakes the thread that accepts, which closes the port.
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("server {} ends", self.id));
    }

    fn serve<B: Behaviour>(&self, stream: TcpStream, behaviour: &B) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        self.channels.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if request.path() == "/healthz" {
                writer.write_all(&answer("200 OK", &[("Briarrail-Instance-Id", &self.id)], b""))?;
                continue;
            }
            let expected = request.header("briarrail-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("Briarrail-Instance-Id", self.id.as_str())];
                writer.write_all(&answer("421 Misdirected Request", &headers, b""))?;
                continue;
            }
            if !behaviour.run(self, &request, &mut writer)? {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records that it began to work on a request.
    pub fn record_run(&self, request: &Message) {
        let id = request.header("briarrail-attempt-id").unwrap_or("").to_owned();
        let (server, start) = (&self.id, &request.start);
        self.record
            .line(&format!("server {server} runs {id} ({start})"));
        self.runs.lock().unwrap().push((id, self.record.now_ms()));
    }

    /// The whole answer of this server to a request.
    pub fn success(&self, request: &Message, body: &[u8]) -> Vec<u8> {
        let id = request.header("briarrail-attempt-id").unwrap_or("");
        let seal = format!("seal.{}.{id}", self.id);
        let headers = [
            ("Briarrail-Attempt-Id", id),
            ("Briarrail-Engine-Seal", seal.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        answer("200 OK", &headers, body)
    }
}

/// A sound plain service.
pub struct PlainService {
    pub work_ms: u64,
}

impl Behaviour for PlainService {
    fn run(&self, server: &Server, request: &Message, channel: &mut TcpStream) -> io::Result<bool> {
        server.record_run(request);
        sleep_ms(self.work_ms);
        channel.write_all(&server.success(request, &[b'x'; 800]))?;
        Ok(true)
    }
}

// ---------------------------------------------------------------------------------------------
// Configuration

/// A route to one service.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub slo_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn config(version: u64, routes: &[Route<'_>], services: &[(&str, u32, bool)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route {
                prefix,
                kind,
                service,
                timeout_ms,
                slo_ms,
                attempts,
                resumable,
            } = route;
            let sticky = *kind == "streaming";
            format!(
                "{{\"Name\":\"r-{version}{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
                 \"RouteKind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\"SloMs\":{slo_ms},\
                 \"Priority\":0,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\
                 \"Public\":false,\"Sticky\":{sticky},\"Resumable\":{resumable},\
                 \"ItlTargetMs\":400}}",
                prefix.trim_matches('/')
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, max_conns, is_engine)| {
            let engine = if *is_engine {
                ",\"Engine\":{\"Slots\":64,\"KvCapacity\":697428,\"Models\":[{\"Name\":\"m\"}]}"
            } else {
                ""
            };
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":{max_conns},\
                 \"Protocol\":\"h1\",\"Tls\":false{engine}}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":\
         {{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\
         \"Priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Router processes

/// A temporary folder that is removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let nanos = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |time| time.as_nanos());
        let name = format!("review-{}-{nanos}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a free address for a listener, below the ports that outgoing channels usually get: such a
/// channel could take the port before the listener does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    const FIRST_PORT: u64 = 12_000;
    const PORTS: u64 = 18_000;
    let start = u64::from(std::process::id()) * 61;
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (FIRST_PORT + (start + number) % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
    panic!("no free port");
}

/// A process of the router, started with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

impl Router {
    pub fn start(
        record: &Record,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let [front, ready, peers, metrics] = std::array::from_fn(|_| free_address());
        // The template of the deploy file, with the values of a small deployment.
        let settings = format!(
            "{{\n\"host\": {{ \"name\": \"{name}\", \"data_centre\": \"{zone}\" }},\n\
             \"callers\": {{ \"listen\": \"{front}\" }},\n\
             \"readiness\": {{ \"listen\": \"{ready}\" }},\n\
             \"peers\": {{ \"listen\": \"{peers}\" }},\n\
             \"metrics\": {{ \"listen\": \"{metrics}\" }},\n\
             \"store\": {{ \"address\": \"{store}\" }},\n\
             \"exchange_key\": \"briarrail-exchange-of-this-site\",\n\
             \"link_mbps\": 1000.0,\n\"core_share\": 0.25,\n\"max_descriptors\": 4100,\n\
             \"fleet\": {{ \"stop_grace_s\": 8, \"retry_ratio\": 0.2, \"retry_window_s\": 10, \
             \"retry_slack\": 58, \"load_ratio\": 2 }},\n\
             \"logs\": {{ \"format\": \"json\", \"filter\": \"info\" }}\n}}\n"
        );
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        let child = spawn_router(record, &path, &log);
        record.line(&format!("router {name} starts, front {front}, ready {ready}"));
        Self {
            name: name.to_owned(),
            front,
            ready,
            peers,
            settings: path,
            log,
            child,
            record: record.clone(),
        }
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .line(&format!("router {} gets signal {signal}", self.name));
        // SAFETY: the process is a child of this one and was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("router {} is killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a process that ended, as the platform does.
    pub fn start_again(&mut self) {
        self.record
            .line(&format!("router {} starts again", self.name));
        self.child = spawn_router(&self.record, &self.settings, &self.log);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The status of its readiness address; 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let request = format!("GET /briarrail/readyz HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let outcome = Client::connect(self.ready, 1_000)
            .and_then(|mut client| client.exchange(request.as_bytes(), 1_000));
        outcome.map_or(0, |answer| answer.status())
    }

    pub fn wait_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(20);
        while self.readiness() != 200 {
            if Instant::now() > end || !self.is_running() {
                give_up(&self.record, &format!("router {} is not ready", self.name));
            }
            sleep_ms(30);
        }
        self.record.line(&format!("router {} is ready", self.name));
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_router(record: &Record, settings: &Path, log: &Path) -> Child {
    let program = std::env::var("ROUTER").unwrap_or_else(|_| "target/release/briarrail_edge".into());
    let opened = File::options().create(true).append(true).open(log);
    let Ok(log) = opened else {
        give_up(record, "no log file");
    };
    let mut command = Command::new(&program);
    command
        .env_clear()
        .env("BRIARRAIL_BOOT", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().map_or_else(|_| Stdio::null(), Stdio::from))
        .stdout(log);
    // SAFETY: only a system call that is safe after a fork. The child ends with this process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    match command.spawn() {
        Ok(child) => child,
        Err(error) => give_up(record, &format!("{program}: {error}")),
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A channel of a client.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout_ms: u64) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(request)
    }

    /// Sends a request and reads the whole answer.
    pub fn exchange(&mut self, request: &[u8], timeout_ms: u64) -> io::Result<Message> {
        let timeout = Some(Duration::from_millis(timeout_ms));
        self.reader.get_ref().set_read_timeout(timeout)?;
        self.send(request)?;
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut message)?;
        Ok(message)
    }
}

/// Builds the request of a client.
pub fn client_request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBriarrail-Attempt-Id: {id}\r\n\
         Briarrail-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    );
    for (name, value) in extra {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if method == "POST" || !body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// A new id of a client's attempt.
pub fn attempt_id() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Counts of outcomes by name.
#[derive(Default)]
pub struct Tally(pub Mutex<HashMap<String, u64>>);

impl Tally {
    pub fn add(&self, name: &str) {
        *self.0.lock().unwrap().entry(name.to_owned()).or_default() += 1;
    }

    pub fn text(&self) -> String {
        let counts = self.0.lock().unwrap();
        let mut counts: Vec<String> = counts
            .iter()
            .map(|(name, count)| format!("{name}: {count}"))
            .collect();
        counts.sort();
        counts.join(", ")
    }
}
