//! Stand-ins of the platform, the databases and the callers for the scripts of this review, and the scenarios
//! that the scripts run. Only the standard library is used.
//!
//! `standin SCENARIO PROGRAM FOLDER RECORD` starts `PROGRAM` once for each VM with settings in `FOLDER`, plays the
//! scenario against it and writes what was seen to `RECORD`. The exit status is 1 if the rule was broken, 0 if it
//! held and 2 if the scenario couldn't run. `TROUBLE=0` in the environment leaves the disruption out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

// ---- JSON

#[derive(Clone, PartialEq, Debug)]
enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text.as_bytes(), &mut at)?;
        skip_blanks(text.as_bytes(), &mut at);
        (at == text.len()).then_some(value)
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|field| field.0 == key).map(|field| &field.1),
            _ => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    fn whole(&self) -> Option<u64> {
        match self {
            Json::Number(digits) => digits.parse().ok(),
            _ => None,
        }
    }

    /// Returns this table without one field.
    fn without(&self, key: &str) -> Json {
        match self {
            Json::Table(fields) => {
                Json::Table(fields.iter().filter(|field| field.0 != key).cloned().collect())
            }
            other => other.clone(),
        }
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(digits) => out.push_str(digits),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Table(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            _ => out.push(letter),
        }
    }
    out.push('"');
}

fn skip_blanks(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_value(text, at)? else {
                            return None;
                        };
                        skip_blanks(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(out).ok().map(Json::Text);
                    }
                    b'\\' => {
                        *at += 1;
                        match *text.get(*at)? {
                            b'n' => out.push(b'\n'),
                            b'r' => out.push(b'\r'),
                            b't' => out.push(b'\t'),
                            b'u' => {
                                let digits = text.get(*at + 1..*at + 5)?;
                                let digits = std::str::from_utf8(digits).ok()?;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                let letter = char::from_u32(code)?;
                                out.extend(letter.to_string().as_bytes());
                                *at += 4;
                            }
                            other => out.push(other),
                        }
                        *at += 1;
                    }
                    other => {
                        out.push(other);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[from..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "" => None,
                digits => Some(Json::Number(digits.to_owned())),
            }
        }
    }
}

fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

fn number<N: ToString>(value: N) -> Json {
    Json::Number(value.to_string())
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    Json::Table(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

// ---- The platform's store

#[derive(Clone, Debug)]
struct Object {
    rev: u64,
    created: u64,
    finalizers: Json,
    spec: Json,
    status: Json,
}

type Objects = BTreeMap<(String, String), Object>;

#[derive(Clone, Debug)]
struct Event {
    rev: u64,
    kind: String,
    name: String,
    removed: bool,
    object: Object,
}

struct Store {
    rev: u64,
    /// Rises each time the store comes back from a copy.
    era: u64,
    up: bool,
    /// Rises when connections are cut.
    cuts: u64,
    objects: Objects,
    events: Vec<Event>,
    copies: VecDeque<(Instant, u64, Objects)>,
}

impl Store {
    fn encode(&self, name: &str, object: &Object) -> Json {
        let meta = table(vec![
            ("Name", text(name)),
            ("Rev", number(object.rev)),
            ("Created", number(object.created)),
            ("Finalizers", object.finalizers.clone()),
            ("Deleting", Json::Bool(false)),
        ]);
        let (spec, status) = (object.spec.clone(), object.status.clone());
        table(vec![("meta", meta), ("spec", spec), ("status", status)])
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.clone();
        }
        self.rev += 1;
        let before = self.objects.get(&key);
        let created = before.map_or(self.rev, |before| before.created);
        let status = before.map_or(Json::Null, |before| before.status.clone());
        let finalizers = Json::List(Vec::new());
        let object = Object { rev: self.rev, created, finalizers, spec, status };
        self.objects.insert(key, object.clone());
        self.record(kind, name, false, &object);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.remove(&key) else {
            return false;
        };
        self.rev += 1;
        self.record(kind, name, true, &object);
        true
    }

    fn record(&mut self, kind: &str, name: &str, removed: bool, object: &Object) {
        let (rev, object) = (self.rev, object.clone());
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.events.push(Event { rev, kind, name, removed, object });
    }

    fn copy(&mut self) {
        self.copies.push_back((Instant::now(), self.rev, self.objects.clone()));
        if self.copies.len() > 400 {
            self.copies.pop_front();
        }
    }

    /// Comes back from the newest copy that was made by `until`.
    fn restore(&mut self, until: Instant) -> Duration {
        let copy = self.copies.iter().rev().find(|copy| copy.0 <= until).cloned();
        let (made, rev, objects) = copy.expect("copies are made from the start");
        (self.rev, self.objects) = (rev, objects);
        self.events.retain(|event| event.rev <= rev);
        self.era += 1;
        made.elapsed()
    }
}

// ---- The databases

#[derive(Clone, PartialEq, Debug)]
struct Commit {
    term: u64,
    number: u64,
    /// The id of the statement that committed, and the items and data that it wrote.
    id: String,
    writes: Vec<(String, String)>,
}

struct Database {
    id: String,
    service: usize,
    zone: String,
    address: SocketAddr,
    log: Vec<Commit>,
    term: u64,
    paused: u64,
    draining: bool,
    alive: bool,
    connections: u32,
    seq: u64,
}

impl Database {
    fn position(&self) -> (u64, u64) {
        self.log.last().map_or((0, 0), |last| (last.term, last.number))
    }
}

struct Service {
    name: String,
    /// Index of the primary; `None` after it stepped down.
    primary: Option<usize>,
    term: u64,
    token: u64,
}

#[derive(Clone, Debug)]
struct Promotion {
    service: String,
    holder: String,
    token: u64,
    status: u32,
}

/// A statement that a database ran.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    text: String,
}

struct World {
    store: Store,
    services: Vec<Service>,
    databases: Vec<Database>,
    promotions: Vec<Promotion>,
    runs: Vec<Run>,
    record: fs::File,
    proofs: u64,
}

struct Shared {
    began: Instant,
    world: Mutex<World>,
    changed: Condvar,
    over: AtomicBool,
}

type Platform = Arc<Shared>;

const MAX_CONNECTIONS: u32 = 16;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const PROMOTION: Duration = Duration::from_millis(400);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("no thread panics with the lock")
    }

    fn at_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn note(&self, line: &str) {
        let at_ms = self.at_ms();
        let mut world = self.lock();
        let _ = writeln!(world.record, "{at_ms:>7} ms  {line}");
    }
}

impl World {
    fn entry(&self, index: usize) -> Json {
        let database = &self.databases[index];
        let service = &self.services[database.service];
        let role = if service.primary == Some(index) { "primary" } else { "replica" };
        table(vec![
            ("Service", text(&service.name)),
            ("Address", text(&database.address.to_string())),
            ("Zone", text(&database.zone)),
            ("Version", text("v1")),
            ("Slots", number(2)),
            ("State", text(if database.draining { "draining" } else { "ready" })),
            ("ColdLeftMs", number(0)),
            ("DbRole", text(role)),
            ("Seq", number(database.seq)),
        ])
    }

    /// Writes what a database says of itself. The entry changes when more than `Seq` does.
    fn heartbeat(&mut self, index: usize) {
        if !self.store.up || !self.databases[index].alive {
            return;
        }
        self.databases[index].seq += 1;
        let entry = self.entry(index);
        let id = self.databases[index].id.clone();
        let key = ("servers".to_owned(), id.clone());
        if let Some(known) = self.store.objects.get_mut(&key)
            && known.spec.without("Seq") == entry.without("Seq")
        {
            known.spec = entry;
            return;
        }
        self.store.put("servers", &id, entry);
    }

    fn heartbeats_of(&mut self, service: usize) {
        for index in 0..self.databases.len() {
            if self.databases[index].service == service {
                self.heartbeat(index);
            }
        }
    }

    /// Sends the primary's log to the replicas that receive. Returns how many have all of it.
    fn replicate(&mut self, primary: usize) -> usize {
        let (service, log) = (self.databases[primary].service, self.databases[primary].log.clone());
        let term = self.databases[primary].term;
        let mut received = 0;
        for (index, replica) in self.databases.iter_mut().enumerate() {
            if index != primary
                && replica.service == service
                && replica.alive
                && replica.paused == 0
            {
                if replica.log.len() < log.len() {
                    replica.log.extend_from_slice(&log[replica.log.len()..]);
                }
                replica.term = term;
                received += 1;
            }
        }
        received
    }

    /// Makes a database the primary of the next term with what it had received.
    fn promote(&mut self, index: usize) {
        let service = self.databases[index].service;
        self.services[service].term += 1;
        self.services[service].primary = Some(index);
        let (term, log) = (self.services[service].term, self.databases[index].log.clone());
        for (other, database) in self.databases.iter_mut().enumerate() {
            if database.service == service && database.alive {
                database.term = term;
                if other == index {
                    database.paused = 0;
                } else {
                    let common = database.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
                    database.log.truncate(common);
                }
            }
        }
        self.replicate(index);
        self.heartbeats_of(service);
    }
}

// ---- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, rest) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = rest.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header)?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn respond(stream: &mut TcpStream, status: u32, era: u64, body: &str) -> io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())
}

/// Serves the store and the promotions.
fn serve_platform(platform: Platform, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        let platform = Arc::clone(&platform);
        thread::spawn(move || {
            let _ = serve_calls(&platform, stream);
        });
    }
}

fn serve_calls(platform: &Platform, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (opened, is_up) = {
        let world = platform.lock();
        (world.store.cuts, world.store.up)
    };
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        thread::sleep(Duration::from_millis(4));
        if request.path == "/promote" {
            let status = promote(platform, &request);
            respond(&mut writer, status, 0, "{}")?;
            continue;
        }
        let answered = answer(platform, &request, opened, is_up);
        if request.method != "GET" {
            let status = answered.as_ref().map_or("cut".to_owned(), |it| it.0.to_string());
            let Request { method, path, body, .. } = &request;
            platform.note(&format!("{method} {path} {body} -> {status}"));
        }
        let Some((status, body)) = answered else {
            return Ok(());
        };
        let era = platform.lock().store.era;
        respond(&mut writer, status, era, &body)?;
    }
    Ok(())
}

/// Answers a call to the store; `None` if the connection is cut instead.
fn answer(
    platform: &Platform,
    request: &Request,
    opened: u64,
    was_up: bool,
) -> Option<(u32, String)> {
    let mut words = request.path.trim_start_matches("/api/objects/").splitn(3, '/');
    let kind = words.next().unwrap_or_default().to_owned();
    let name = words.next().map(str::to_owned);
    let mut world = platform.lock();
    if !was_up || !world.store.up || world.store.cuts != opened {
        return None;
    }
    let missing = (404, "{}".to_owned());
    match (request.method.as_str(), name) {
        ("GET", Some(name)) => {
            let found = world.store.objects.get(&(kind, name.clone()));
            Some(found.map_or(missing, |it| (200, world.store.encode(&name, it).to_text())))
        }
        ("GET", None) => match request.query.get("Watch").and_then(|rev| rev.parse::<u64>().ok()) {
            Some(since) => {
                let wait_ms = request.query.get("WaitMs").and_then(|it| it.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                loop {
                    if !world.store.up || world.store.cuts != opened {
                        return None;
                    }
                    if since > world.store.rev {
                        return Some((410, "{}".to_owned()));
                    }
                    let store = &world.store;
                    let is_new = |event: &&Event| event.rev > since && event.kind == kind;
                    let events: Vec<Json> = store
                        .events
                        .iter()
                        .filter(is_new)
                        .map(|event| {
                            table(vec![
                                ("Removed", Json::Bool(event.removed)),
                                ("Object", store.encode(&event.name, &event.object)),
                            ])
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = number(store.rev);
                        let body = table(vec![("events", Json::List(events)), ("At", at)]);
                        return Some((200, body.to_text()));
                    }
                    let wait = left.min(Duration::from_millis(50));
                    world = platform.changed.wait_timeout(world, wait).expect("lock").0;
                }
            }
            None => {
                let after = request.query.get("after").cloned().unwrap_or_default();
                let store = &world.store;
                let items = store
                    .objects
                    .iter()
                    .filter(|((known, name), _)| *known == kind && *name > after)
                    .map(|((_, name), object)| store.encode(name, object))
                    .collect();
                let body = table(vec![
                    ("items", Json::List(items)),
                    ("HasMore", Json::Bool(false)),
                    ("At", number(store.rev)),
                ]);
                Some((200, body.to_text()))
            }
        },
        ("POST" | "PUT", name) => {
            let Some(body) = Json::parse(&request.body) else {
                return Some((400, "{}".to_owned()));
            };
            let meta = body.get("meta").cloned().unwrap_or(Json::Null);
            let named = meta.get("Name").and_then(Json::text).map(str::to_owned);
            let is_new = name.is_none();
            let Some(name) = name.or(named) else {
                return Some((400, "{}".to_owned()));
            };
            let known = world.store.objects.get(&(kind.clone(), name.clone())).cloned();
            let required = meta.get("Rev").and_then(Json::whole);
            match known {
                Some(known) if is_new || required.is_some_and(|rev| rev != known.rev) => {
                    Some((409, world.store.encode(&name, &known).to_text()))
                }
                None if !is_new => Some(missing),
                _ => {
                    let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                    let object = world.store.put(&kind, &name, spec);
                    platform.changed.notify_all();
                    Some((200, world.store.encode(&name, &object).to_text()))
                }
            }
        }
        ("DELETE", Some(name)) => {
            let status = if world.store.remove(&kind, &name) { 200 } else { 404 };
            platform.changed.notify_all();
            Some((status, "{}".to_owned()))
        }
        _ => Some((405, "{}".to_owned())),
    }
}

/// Carries out a call that designates a primary. A lower token than one that was seen is refused.
fn promote(platform: &Platform, request: &Request) -> u32 {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let field = |name: &str| body.get(name).and_then(Json::text).unwrap_or_default().to_owned();
    let (service, id) = (field("Service"), field("Id"));
    let holder = request.headers.get("duty-holder").cloned().unwrap_or_default();
    let token = request.headers.get("fencing-token").and_then(|it| it.parse().ok()).unwrap_or(0);
    let at_ms = platform.at_ms();
    let mut world = platform.lock();
    let known = world.services.iter().position(|known| known.name == service);
    let target = world.databases.iter().position(|it| it.id == id && it.alive);
    let status = match (known, target) {
        (Some(known), _) if token < world.services[known].token => 409,
        (Some(known), target) => {
            world.services[known].token = token;
            match target.filter(|target| world.databases[*target].service == known) {
                None => 409,
                Some(target) if world.services[known].primary == Some(target) => 200,
                Some(target) => {
                    let platform = Arc::clone(platform);
                    thread::spawn(move || {
                        thread::sleep(PROMOTION);
                        platform.lock().promote(target);
                        platform.changed.notify_all();
                    });
                    200
                }
            }
        }
        (None, _) => 409,
    };
    let _ = writeln!(
        world.record,
        "{at_ms:>7} ms  POST /promote Service={service} Id={id} Duty-Holder={holder} \
         Fencing-Token={token} -> {status}"
    );
    world.promotions.push(Promotion { service, holder, token, status });
    status
}

// ---- The databases' protocol

/// The state of one connection to a database.
struct Connection {
    index: usize,
    state: char,
    plain: bool,
    writes: Vec<(String, String)>,
    prepared: HashMap<String, (String, String)>,
}

fn serve_database(platform: Platform, index: usize, listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        if !platform.lock().databases[index].alive {
            continue;
        }
        let platform = Arc::clone(&platform);
        thread::spawn(move || {
            let _ = serve_connection(&platform, index, stream);
        });
    }
}

fn serve_connection(platform: &Platform, index: usize, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(line) = read_line(&mut reader)? else {
        return Ok(());
    };
    let words: Vec<&str> = line.split(' ').collect();
    let refusal = {
        let mut world = platform.lock();
        let service = world.services[world.databases[index].service].name.clone();
        let database = &mut world.databases[index];
        let is_expected = words.get(3).is_none_or(|id| *id == database.id);
        if words.first() != Some(&"STARTUP") || words.get(1) != Some(&&*service) || !is_expected {
            Some("MISROUTED")
        } else if database.connections >= MAX_CONNECTIONS {
            Some("CONNLIMIT")
        } else {
            database.connections += 1;
            None
        }
    };
    if let Some(code) = refusal {
        return writer.write_all(format!("ERROR {code} -\r\n").as_bytes());
    }
    thread::sleep(Duration::from_millis(12));
    let mut connection = Connection {
        index,
        state: 'I',
        plain: false,
        writes: Vec::new(),
        prepared: HashMap::new(),
    };
    let served = serve_queries(platform, &mut connection, &mut reader, &mut writer);
    platform.lock().databases[index].connections -= 1;
    served
}

/// Reads a line that ends with CR LF.
fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
        }
    }
}

fn serve_queries(
    platform: &Platform,
    connection: &mut Connection,
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
) -> io::Result<()> {
    let ready = |platform: &Platform, connection: &Connection| {
        let world = platform.lock();
        let (term, number) = world.databases[connection.index].position();
        match (term, number) {
            (0, 0) => format!("READY {} -\r\n", connection.state),
            _ => format!("READY {} {term}.{number}\r\n", connection.state),
        }
    };
    writer.write_all(ready(platform, connection).as_bytes())?;
    while let Some(line) = read_line(reader)? {
        let Some(query) = line.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (id, query) = query.split_once(' ').unwrap_or((query, ""));
        if !platform.lock().databases[connection.index].alive {
            return Ok(());
        }
        let mut reply = run_query(platform, connection, id, query);
        reply.push_str(&ready(platform, connection));
        writer.write_all(reply.as_bytes())?;
    }
    Ok(())
}

fn fail(connection: &mut Connection, code: &str) -> String {
    if connection.state == 'T' {
        connection.state = 'E';
    }
    format!("ERROR {code} -\r\n")
}

fn run_query(platform: &Platform, connection: &mut Connection, id: &str, query: &str) -> String {
    let (word, rest) = query.split_once(' ').unwrap_or((query, ""));
    if word == "MINPOS" {
        let (position, query) = rest.split_once(' ').unwrap_or((rest, ""));
        let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
        let wanted = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        if platform.lock().databases[connection.index].position() < wanted {
            return fail(connection, "LAGGING");
        }
        return run_query(platform, connection, id, query);
    }
    let index = connection.index;
    let done = "COMPLETE -\r\n".to_owned();
    let mut world = platform.lock();
    let service = world.databases[index].service;
    let leads = world.services[service].primary == Some(index);
    match word {
        "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
            let wanted: u64 = rest.parse().unwrap_or(0);
            match word {
                "PAUSE" if !leads && wanted > world.services[service].term => {
                    world.databases[index].paused = wanted;
                }
                "RESUME" => {
                    world.databases[index].paused = 0;
                    if let Some(primary) = world.services[service].primary {
                        world.replicate(primary);
                    }
                }
                "STEPDOWN" if leads && wanted > world.databases[index].term => {
                    world.services[service].primary = None;
                    world.heartbeat(index);
                }
                _ => (),
            }
            platform.changed.notify_all();
            let leads = world.services[service].primary == Some(index);
            let database = &world.databases[index];
            let role = if leads { "primary" } else { "replica" };
            let (term, number) = database.position();
            let position = if term == 0 { "-".to_owned() } else { format!("{term}.{number}") };
            let (known, paused, open) = (database.term, database.paused, database.connections);
            return format!("ROW {role} {known} {position} {paused} 0 0 {open}\r\nCOMPLETE -\r\n");
        }
        "RESET" => {
            connection.prepared.clear();
            return done;
        }
        "SET" => return done,
        "PARSE" => {
            let mut words = rest.splitn(3, ' ');
            let name = words.next().unwrap_or_default().to_owned();
            let effect = words.next().unwrap_or_default().to_owned();
            connection.prepared.insert(name, (effect, words.next().unwrap_or_default().to_owned()));
            return done;
        }
        "CLOSE" => {
            connection.prepared.remove(rest);
            return done;
        }
        "ROLLBACK" => {
            connection.state = 'I';
            connection.writes.clear();
            return done;
        }
        _ => (),
    }
    if connection.state == 'E' {
        if word == "COMMIT" {
            connection.state = 'I';
            connection.writes.clear();
            return "ERROR ABORTED -\r\n".to_owned();
        }
        return "ERROR MALFORMED -\r\n".to_owned();
    }
    if word == "BEGIN" {
        if rest != "READ" && !leads {
            return "ERROR READONLY -\r\n".to_owned();
        }
        connection.state = 'T';
        connection.plain = rest != "READ";
        return done;
    }
    let (effect, arguments) = match word {
        "EXECUTE" => {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            match connection.prepared.get(name) {
                Some((effect, _)) => (effect.clone(), arguments),
                None => return fail(connection, "NOSTMT"),
            }
        }
        _ => (word.to_owned(), rest),
    };
    let lost_lead = connection.state == 'T' && connection.plain && !leads;
    let wrote_nothing = effect == "COMMIT" && connection.writes.is_empty();
    if (lost_lead && !wrote_nothing) || (effect == "WRITE" && !leads) {
        return fail(connection, "READONLY");
    }
    let at_ms = platform.at_ms();
    if effect != "READ" {
        let database = world.databases[index].id.clone();
        let _ = writeln!(world.record, "{at_ms:>7} ms  {database} runs {id} {query}");
    }
    world.runs.push(Run { id: id.to_owned(), text: query.to_owned() });
    match effect.as_str() {
        "READ" => {
            drop(world);
            thread::sleep(Duration::from_millis(3));
            world = platform.lock();
            let item = arguments.split(' ').next().unwrap_or_default();
            let committed = world.databases[index].log.iter().flat_map(|it| &it.writes);
            let all = committed.chain(&connection.writes);
            let data = all.filter(|write| write.0 == item).last();
            let data = data.map_or("-".to_owned(), |write| write.1.clone());
            world.proofs += 1;
            format!("ROW {data}\r\nCOMPLETE {}.proof\r\n", world.proofs)
        }
        "WRITE" | "COMMIT" => {
            if effect == "WRITE" {
                let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
                connection.writes.push((item.to_owned(), data.to_owned()));
            }
            if effect == "COMMIT" || connection.state == 'I' {
                connection.state = 'I';
                let writes = std::mem::take(&mut connection.writes);
                if !writes.is_empty() {
                    let term = world.databases[index].term;
                    let number = world.databases[index].position().1 + 1;
                    let commit = Commit { term, number, id: id.to_owned(), writes };
                    world.databases[index].log.push(commit);
                    while world.services[service].primary == Some(index)
                        && world.replicate(index) == 0
                    {
                        let wait = Duration::from_millis(20);
                        world = platform.changed.wait_timeout(world, wait).expect("lock").0;
                    }
                    if world.services[service].primary != Some(index) {
                        return "ERROR INDOUBT -\r\n".to_owned();
                    }
                }
            }
            world.proofs += 1;
            format!("COMPLETE {}.proof\r\n", world.proofs)
        }
        _ => "ERROR MALFORMED -\r\n".to_owned(),
    }
}

// ---- The deployment

struct Vm {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

const ZONES: [&str; 3] = ["sfax-medina", "sfax-depot", "sfax-sakiet"];
const SERVICES: [&str; 3] = ["huvo11a", "kafi81c", "wuno96b"];
const KINDS: [&str; 3] = ["primary", "bounded_staleness", "read_your_writes"];

/// The next port to try. Ports below the usual range of outgoing connections are not taken by these meanwhile.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address with a free port, a different one each time.
fn free_address() -> SocketAddr {
    const FIRST: u16 = 10_000;
    const COUNT: u16 = 20_000;
    let start = (process::id().wrapping_mul(1_009) % u32::from(COUNT)) as u16;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(next) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn database_name(service: usize, kind: usize) -> String {
    format!("db{service}{}", ["p", "b", "r"][kind])
}

/// A desired state, without the route of one database if `dropped` names it.
fn configuration(version: u64, dropped: &str) -> Json {
    let mut routes = Vec::new();
    for (service, name) in SERVICES.iter().enumerate() {
        for (kind, kind_name) in KINDS.iter().enumerate() {
            if database_name(service, kind) == dropped {
                continue;
            }
            routes.push(table(vec![
                ("Name", text(&format!("r-{service}{kind}"))),
                ("DbName", text(&database_name(service, kind))),
                ("PathPrefix", text("/")),
                ("Kind", text(kind_name)),
                ("TimeoutMs", number(800)),
                ("SloMs", number(200)),
                ("Priority", number(2)),
                ("Service", text(name)),
                ("MaxAttempts", number(2)),
                ("MaxStalenessMs", number(2_500)),
            ]));
        }
    }
    let service = |name: &&str| {
        table(vec![
            ("Name", text(name)),
            ("HealthPath", text("/health")),
            ("MaxConns", number(MAX_CONNECTIONS)),
            ("SyncReplicas", number(1)),
        ])
    };
    table(vec![
        ("Version", number(version)),
        ("Routes", Json::List(routes)),
        ("Services", Json::List(SERVICES.iter().map(service).collect())),
        ("Limits", table(vec![("TxIdleMs", number(3_000))])),
    ])
}

/// Returns a commit from before the start of the scenario.
fn earlier_commit(number: u64) -> Commit {
    let writes = vec![(format!("e{number}"), format!("earlier{number}"))];
    Commit { term: 1, number, id: format!("earlier{number}"), writes }
}

/// Starts a database, which registers itself.
fn start_database(platform: &Platform, service: usize, zone: &str, id: &str) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    let mut world = platform.lock();
    let index = world.databases.len();
    let term = world.services[service].term;
    world.databases.push(Database {
        id: id.to_owned(),
        service,
        zone: zone.to_owned(),
        address,
        log: Vec::new(),
        term,
        paused: 0,
        draining: false,
        alive: true,
        connections: 0,
        seq: 0,
    });
    match world.services[service].primary {
        None if term == 1 => {
            world.services[service].primary = Some(index);
            world.databases[index].log = (1..=5).map(earlier_commit).collect();
        }
        Some(primary) => drop(world.replicate(primary)),
        None => (),
    }
    world.heartbeat(index);
    drop(world);
    platform.changed.notify_all();
    let platform = Arc::clone(platform);
    thread::spawn(move || serve_database(platform, index, listener));
    index
}

fn settings(name: &str, zone: &str, addresses: &[SocketAddr; 4], platform: SocketAddr) -> String {
    let [front, ready, control, peer] = addresses;
    let port = peer.port();
    format!(
        "Node = \"{name}\"\nRole = \"proxy\"\nClass = \"edge\"\nServes = [\"edge\"]\nIp = \"127.0.0.1\"\n\
         Zone = \"{zone}\"\nRegion = \"sfax\"\nInternalPorts = [{port}, {port}]\nSeeds = []\n\
         Bootstrap = true\nHeartbeatMs = 1200\n\
         [Listen]\nFront = \"{front}\"\nReady = \"{ready}\"\nControl = \"{control}\"\n\
         [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4300\nLinkMbps = 1000.0\n\
         [Tolerate]\nMachines = 1\nZones = 1\nRegions = 0\n\
         [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 4000\nAckMs = 5000\nCatchUpS = 4\n\
         DrainMs = 7000\nGraceS = 6\nLossSlackMs = 200\nConfigMs = 3000\nDowngradeMs = 250\n\
         OuterMs = 12000\nRecoverS = 12\nFenceChecked = true\nThawMs = 300\n\
         [platform]\nAddress = \"{platform}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
         HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n\
         [Cloud]\nAddress = \"{platform}\"\nRatePerS = 50.0\nDuties = [\"failover\"]\nDutyPerS = 50.0\n"
    )
}

fn start_vm(program: &str, folder: &Path, number: usize, platform: SocketAddr) -> io::Result<Vm> {
    let zone = ZONES[number % ZONES.len()];
    let name = format!("edge-{zone}-{number}");
    let addresses = [free_address(), free_address(), free_address(), free_address()];
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, settings(&name, zone, &addresses, platform))?;
    let child = spawn_vm(program, folder, &name)?;
    Ok(Vm { name, front: addresses[0], ready: addresses[1], child })
}

/// Starts the program with the settings of a VM.
fn spawn_vm(program: &str, folder: &Path, name: &str) -> io::Result<Child> {
    let log = folder.join(format!("{name}.log"));
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("SKYLARKLB_NODE_FILE", folder.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // SAFETY: the call is safe between fork and exec, and its arguments are plain numbers.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    /// Lets the kernel end a child together with this process.
    fn prctl(option: i32, ...) -> i32;
}

fn is_ready(vm: &Vm) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&vm.ready, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains(" 200"))
    };
    ask().unwrap_or(false)
}

// ---- Callers

/// A caller's connection.
struct Caller {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// The answer to one statement: its rows and its last line before `READY`.
#[derive(Clone, Debug, Default)]
struct Answer {
    rows: Vec<String>,
    end: String,
    ready: String,
}

impl Caller {
    fn open(front: SocketAddr, database: &str) -> io::Result<Caller> {
        let writer = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut caller = Caller { reader: BufReader::new(writer.try_clone()?), writer };
        caller.writer.write_all(format!("STARTUP {database} u1\r\n").as_bytes())?;
        let ready = caller.line()?;
        match ready.starts_with("READY") {
            true => Ok(caller),
            false => Err(io::Error::other(ready)),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        read_line(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::default();
        loop {
            let line = self.line()?;
            match line.split_once(' ').unwrap_or((&line, "")) {
                ("ROW", row) => answer.rows.push(row.to_owned()),
                ("READY", _) => {
                    answer.ready = line;
                    return Ok(answer);
                }
                _ => answer.end = line,
            }
        }
    }

    fn query(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        self.answer()
    }
}

/// What the callers saw of their writes, by data.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Acknowledged,
    Denied,
    Unknown,
}

type Outcomes = Arc<Mutex<HashMap<String, (usize, Outcome)>>>;

/// When each request was sent, in milliseconds, and whether it was served.
type Served = Arc<Mutex<Vec<(u128, bool)>>>;

/// Sends single writes and reads at a low rate until the scenario is over.
fn run_caller(
    platform: Platform,
    front: SocketAddr,
    number: usize,
    outcomes: Outcomes,
    served: Served,
) {
    let service = number % SERVICES.len();
    let kind = if number % 2 == 0 { 0 } else { 2 };
    let mut caller = None;
    let mut count = 0;
    while !platform.over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(250));
        if caller.is_none() {
            caller = Caller::open(front, &database_name(service, kind)).ok();
        }
        let sent_ms = platform.at_ms();
        let note_served = |is_served: bool| served.lock().expect("lock").push((sent_ms, is_served));
        let Some(open) = &mut caller else {
            note_served(false);
            continue;
        };
        count += 1;
        let id = format!("c{number}n{count}");
        if count % 3 != 0 {
            let answered = open.query(&id, &format!("READ i{number}"));
            note_served(answered.as_ref().is_ok_and(|it| it.end.starts_with("COMPLETE")));
            if answered.is_err() {
                caller = None;
            }
            continue;
        }
        let data = format!("d{number}x{count}");
        let statement = format!("WRITE i{number} {data}");
        platform.note(&format!("a caller sends {id} {statement}"));
        let answered = open.query(&id, &statement);
        let end = answered.as_ref().map_or("no answer", |answer| &answer.end);
        platform.note(&format!("the caller of {id} gets {end}"));
        let outcome = match answered {
            Ok(answer) if answer.end.starts_with("COMPLETE") => Outcome::Acknowledged,
            Ok(answer) => match answer.end.split(' ').nth(1) {
                Some("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "CONNLIMIT") => {
                    Outcome::Denied
                }
                _ => Outcome::Unknown,
            },
            Err(_) => {
                caller = None;
                Outcome::Unknown
            }
        };
        note_served(outcome == Outcome::Acknowledged);
        outcomes.lock().expect("lock").insert(data, (service, outcome));
    }
}

// ---- Scenarios

struct Scenario {
    platform: Platform,
    vms: Vec<Vm>,
    trouble: bool,
    outcomes: Outcomes,
    served: Served,
    program: String,
    folder: PathBuf,
    address: SocketAddr,
}

impl Scenario {
    fn start(program: &str, folder: &Path, record: &Path, vms: usize) -> io::Result<Scenario> {
        let service =
            |name: &&str| Service { name: (*name).to_owned(), primary: None, term: 1, token: 0 };
        let store = Store {
            rev: 100,
            era: 1,
            up: true,
            cuts: 0,
            objects: Objects::new(),
            events: Vec::new(),
            copies: VecDeque::new(),
        };
        let world = World {
            store,
            services: SERVICES.iter().map(service).collect(),
            databases: Vec::new(),
            promotions: Vec::new(),
            runs: Vec::new(),
            record: fs::File::create(record)?,
            proofs: 0,
        };
        let platform = Arc::new(Shared {
            began: Instant::now(),
            world: Mutex::new(world),
            changed: Condvar::new(),
            over: AtomicBool::new(false),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let serving = Arc::clone(&platform);
        thread::spawn(move || serve_platform(serving, listener));
        platform.lock().store.put("config", "main", configuration(7, ""));
        for service in 0..SERVICES.len() {
            for zone in 0..ZONES.len() {
                let zone = ZONES[(zone + service) % ZONES.len()];
                start_database(&platform, service, zone, &format!("i-{service}-{zone}"));
            }
        }
        let beating = Arc::clone(&platform);
        thread::spawn(move || {
            let mut beats = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(100));
                let mut world = beating.lock();
                if world.store.up {
                    world.store.copy();
                }
                if beats.elapsed() >= HEARTBEAT {
                    beats = Instant::now();
                    for index in 0..world.databases.len() {
                        world.heartbeat(index);
                    }
                }
                drop(world);
                beating.changed.notify_all();
            }
        });
        let mut started = Vec::new();
        for number in 0..vms {
            started.push(start_vm(program, folder, number, address)?);
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let (program, folder) = (program.to_owned(), folder.to_owned());
        let (outcomes, served) = (Outcomes::default(), Served::default());
        Ok(Scenario { platform, vms: started, trouble, outcomes, served, program, folder, address })
    }

    /// Waits until all VMs are ready.
    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.vms.iter().all(is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.platform.note("all VMs are ready");
        true
    }

    fn start_callers(&self, count: usize) {
        for number in 0..count {
            let (platform, outcomes) = (Arc::clone(&self.platform), Arc::clone(&self.outcomes));
            let front = self.vms[number / SERVICES.len() % self.vms.len()].front;
            let served = Arc::clone(&self.served);
            thread::spawn(move || run_caller(platform, front, number, outcomes, served));
        }
    }

    /// Replaces the primary of some services: a new database starts, and the primary drains and leaves.
    fn replace_primaries(&self, round: usize, services: std::ops::Range<usize>) {
        let mut leaving = Vec::new();
        for service in services {
            let (zone, primary) = {
                let world = self.platform.lock();
                let Some(primary) = world.services[service].primary else {
                    continue;
                };
                (world.databases[primary].zone.clone(), primary)
            };
            start_database(&self.platform, service, &zone, &format!("i-{service}-new{round}"));
            leaving.push(primary);
        }
        thread::sleep(Duration::from_millis(1_000));
        for primary in &leaving {
            let mut world = self.platform.lock();
            world.databases[*primary].draining = true;
            world.heartbeat(*primary);
            let id = world.databases[*primary].id.clone();
            drop(world);
            self.platform.changed.notify_all();
            self.platform.note(&format!("{id} reports draining"));
            thread::sleep(Duration::from_millis(730));
        }
        let platform = Arc::clone(&self.platform);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(9_000));
            for index in leaving {
                let mut world = platform.lock();
                let service = world.databases[index].service;
                if world.services[service].primary != Some(index) {
                    world.databases[index].alive = false;
                    let id = world.databases[index].id.clone();
                    world.store.remove("servers", &id);
                    drop(world);
                    platform.note(&format!("{id} left"));
                }
            }
            platform.changed.notify_all();
        });
    }

    /// Lets a database report that it is about to stop.
    fn drain(&self, index: usize) {
        let mut world = self.platform.lock();
        world.databases[index].draining = true;
        world.heartbeat(index);
        let id = world.databases[index].id.clone();
        drop(world);
        self.platform.changed.notify_all();
        self.platform.note(&format!("{id} reports draining"));
    }

    /// Ends a database, whether it was replaced as primary or not.
    fn leave(&self, index: usize) {
        let mut world = self.platform.lock();
        let service = world.databases[index].service;
        let led = world.services[service].primary == Some(index);
        if led {
            world.services[service].primary = None;
        }
        world.databases[index].alive = false;
        let id = world.databases[index].id.clone();
        world.store.remove("servers", &id);
        drop(world);
        self.platform.changed.notify_all();
        self.platform.note(&format!("{id} left; it was still the primary: {led}"));
    }

    /// The drill: the store is away for a moment and comes back from a copy that was made at `copied`. The
    /// operator and the databases write again what they wrote.
    fn drill(&self, copied: Instant) {
        let mut world = self.platform.lock();
        let operator = world.store.objects.get(&("config".to_owned(), "main".to_owned())).cloned();
        world.store.up = false;
        world.store.cuts += 1;
        drop(world);
        self.platform.changed.notify_all();
        self.platform.note("drill: the store is away");
        thread::sleep(Duration::from_millis(500));
        let mut world = self.platform.lock();
        let age = world.store.restore(copied);
        world.store.up = true;
        if let Some(operator) = operator {
            world.store.put("config", "main", operator.spec);
        }
        for index in 0..world.databases.len() {
            world.heartbeat(index);
        }
        let (era, rev) = (world.store.era, world.store.rev);
        drop(world);
        self.platform.changed.notify_all();
        self.platform.note(&format!(
            "drill: the store is back from a copy that is {:.1} s old, Store-Era {era}, At {rev}",
            age.as_secs_f64()
        ));
    }

    fn promoted(&self) -> usize {
        let world = self.platform.lock();
        world.services.iter().map(|service| service.term as usize - 1).sum()
    }

    /// Waits until this many promotions have taken effect.
    fn wait_for_promotions(&self, count: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.promoted() < count {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Adds machines, and removes them again a moment later with a SIGTERM. Returns them.
    fn add_and_remove(&self, first: usize, count: usize) -> io::Result<Vec<Vm>> {
        let numbers = first..first + count;
        let added =
            numbers.map(|number| start_vm(&self.program, &self.folder, number, self.address));
        let added = added.collect::<io::Result<Vec<Vm>>>()?;
        let until = Instant::now() + Duration::from_secs(5);
        while !added.iter().all(is_ready) && Instant::now() < until {
            thread::sleep(Duration::from_millis(50));
        }
        let ids: Vec<String> = added.iter().map(|vm| vm.child.id().to_string()).collect();
        let line = format!("kill -TERM {}", ids.join(" "));
        Command::new("sh").arg("-c").arg(line).status()?;
        self.platform
            .note(&format!("{count} machines were added and removed again, from number {first}"));
        Ok(added)
    }

    /// The final fault: all processes are killed, and start again with the same settings.
    fn kill_all(&mut self) -> io::Result<()> {
        for vm in &mut self.vms {
            vm.child.kill()?;
            vm.child.wait()?;
        }
        self.platform.note("all processes are killed");
        thread::sleep(Duration::from_secs(1));
        for vm in &mut self.vms {
            vm.child = spawn_vm(&self.program, &self.folder, &vm.name)?;
        }
        self.platform.note("all processes are started again");
        Ok(())
    }

    /// Returns how many requests were sent in a span, and how many of them were served.
    fn served_between(&self, from_ms: u128, to_ms: u128) -> (usize, usize) {
        let served = self.served.lock().expect("lock");
        let sent: Vec<bool> =
            served.iter().filter(|it| (from_ms..to_ms).contains(&it.0)).map(|it| it.1).collect();
        (sent.len(), sent.iter().filter(|is_served| **is_served).count())
    }

    /// Ends the VMs and notes what became of the callers' writes.
    fn end(&mut self) {
        self.platform.over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(300));
        for vm in &mut self.vms {
            let ended = vm.child.try_wait().ok().flatten();
            if let Some(status) = ended {
                self.platform.note(&format!("{} had ended by itself: {status}", vm.name));
            }
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        let outcomes = self.outcomes.lock().expect("lock").clone();
        let world = self.platform.lock();
        let mut kept: HashMap<&str, usize> = HashMap::new();
        for service in &world.services {
            let Some(primary) = service.primary else {
                continue;
            };
            let writes = world.databases[primary].log.iter().flat_map(|commit| &commit.writes);
            for (_, data) in writes {
                *kept.entry(data).or_default() += 1;
            }
        }
        let count_of = |data: &str| kept.get(data).copied().unwrap_or(0);
        let with = |wanted: Outcome| outcomes.iter().filter(move |it| it.1.1 == wanted);
        let lost = with(Outcome::Acknowledged).filter(|it| count_of(it.0) == 0).count();
        let twice = outcomes.keys().filter(|data| count_of(data) > 1).count();
        let denied_kept = with(Outcome::Denied).filter(|it| count_of(it.0) > 0).count();
        let line = format!(
            "writes: {} acknowledged ({lost} lost), {} denied ({denied_kept} kept), {} unknown, \
             {twice} applied twice",
            with(Outcome::Acknowledged).count(),
            with(Outcome::Denied).count(),
            with(Outcome::Unknown).count(),
        );
        drop(world);
        self.platform.note(&line);
        println!("{line}");
    }
}

/// CONFIG: a VM that was frozen while the store came back from a copy serves a dropped route for good.
fn stale_configuration(scenario: &Scenario) -> Option<bool> {
    const DROPPED: &str = "db2p";
    // `ConfigMs` and `OuterMs`, and a second more.
    const BOUND: Duration = Duration::from_millis(3_000 + 12_000 + 1_000);
    if !scenario.wait_until_ready() {
        return None;
    }
    scenario.start_callers(36);
    thread::sleep(Duration::from_secs(3));
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(300));
    scenario.replace_primaries(1, 0..1);
    if !scenario.wait_for_promotions(1, Duration::from_secs(10)) {
        return None;
    }
    // Each watch has returned once since.
    thread::sleep(Duration::from_millis(3_000));
    let frozen = &scenario.vms[0];
    let signal = |name: &str| {
        let line = format!("kill -{name} {}", frozen.child.id());
        let sent = Command::new("sh").arg("-c").arg(line).status();
        scenario.platform.note(&format!("SIG{name} to {}: {sent:?}", frozen.name));
    };
    if scenario.trouble {
        signal("STOP");
        scenario.drill(copied);
    }
    scenario.platform.lock().store.put("config", "main", configuration(8, DROPPED));
    scenario.platform.changed.notify_all();
    let confirmed = Instant::now();
    scenario.platform.note(&format!("the operator writes version 8, without {DROPPED}"));
    scenario.replace_primaries(2, 1..SERVICES.len());
    thread::sleep(Duration::from_millis(900));
    let rev = scenario.platform.lock().store.rev;
    scenario.platform.note(&format!("the store is at {rev}"));
    if scenario.trouble {
        signal("CONT");
    }
    thread::sleep(BOUND.saturating_sub(confirmed.elapsed()));
    let mut is_broken = false;
    for vm in &scenario.vms {
        let id = format!("late-{}", vm.name);
        let after_ms = confirmed.elapsed().as_millis();
        let asked = Caller::open(vm.front, DROPPED)
            .and_then(|mut caller| caller.query(&id, "WRITE i7 late").map(|answer| answer.end));
        let did_run = scenario.platform.lock().runs.iter().any(|run| run.id == id);
        let line = format!(
            "{after_ms} ms after the confirmation {} answers a request for {DROPPED} with {asked:?}; \
             run by a database: {did_run}",
            vm.name
        );
        scenario.platform.note(&line);
        println!("{line}");
        is_broken |= did_run;
    }
    Some(is_broken)
}

/// Fault: no request is served after the databases of quiet services were replaced one after the other.
fn quiet(scenario: &Scenario) -> Option<bool> {
    const REPLACED: usize = 2;
    const OBSERVED: Duration = Duration::from_secs(30);
    if !scenario.wait_until_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    for round in 1..=REPLACED {
        if !scenario.trouble {
            break;
        }
        // In each service first a replica and then the primary.
        let mut leaving = Vec::new();
        for service in 0..SERVICES.len() {
            let world = scenario.platform.lock();
            let primary = world.services[service].primary?;
            let is_replica = |index: &usize| {
                let database = &world.databases[*index];
                *index != primary && database.service == service && database.alive
            };
            let replica = (0..world.databases.len()).find(is_replica)?;
            let old = if round == REPLACED { primary } else { replica };
            let zone = world.databases[old].zone.clone();
            drop(world);
            start_database(&scenario.platform, service, &zone, &format!("i-{service}-new{round}"));
            leaving.push(old);
        }
        thread::sleep(Duration::from_millis(1_500));
        for index in &leaving {
            scenario.drain(*index);
        }
        // Each goes on for `DrainMs` and a little longer.
        thread::sleep(Duration::from_millis(9_000));
        for index in &leaving {
            scenario.leave(*index);
        }
        thread::sleep(Duration::from_millis(500));
    }
    scenario.platform.note("the databases were replaced; the traffic begins");
    let from_ms = scenario.platform.at_ms();
    scenario.start_callers(36);
    thread::sleep(OBSERVED);
    let (sent, served) = scenario.served_between(from_ms, from_ms + OBSERVED.as_millis());
    let line = format!("Fault: {served} of {sent} requests were served");
    scenario.platform.note(&line);
    println!("{line}");
    if sent == 0 {
        return None;
    }
    Some(served == 0)
}

/// RECOVER: after the final fault less than a quarter of the requests is served, because machines that were removed
/// before still count.
fn recover(scenario: &mut Scenario) -> io::Result<Option<bool>> {
    const WAVES: usize = 80;
    const PER_WAVE: usize = 3;
    const RECOVER_MS: u128 = 12_000;
    const OBSERVED_MS: u128 = 10_000;
    if !scenario.wait_until_ready() {
        return Ok(None);
    }
    scenario.start_callers(36);
    let from_ms = scenario.platform.at_ms();
    thread::sleep(Duration::from_secs(5));
    let mut removed = Vec::new();
    for wave in 0..WAVES {
        match scenario.trouble {
            true => removed.extend(scenario.add_and_remove(100 + wave * PER_WAVE, PER_WAVE)?),
            false => thread::sleep(Duration::from_millis(400)),
        }
    }
    // Those that were removed end within the grace period.
    let until = Instant::now() + Duration::from_secs(7);
    for vm in &mut removed {
        while vm.child.try_wait()?.is_none() {
            if Instant::now() > until {
                vm.child.kill()?;
                vm.child.wait()?;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    scenario.platform.note(&format!("{} machines were added and removed in all", removed.len()));
    thread::sleep(Duration::from_secs(5));
    let fault_ms = scenario.platform.at_ms();
    scenario.kill_all()?;
    let back_ms = scenario.platform.at_ms();
    thread::sleep(Duration::from_millis((RECOVER_MS + OBSERVED_MS) as u64));
    let (sent_before, served_before) = scenario.served_between(from_ms, fault_ms);
    let after_ms = back_ms + RECOVER_MS;
    let (sent, served) = scenario.served_between(after_ms, after_ms + OBSERVED_MS);
    let line = format!(
        "RECOVER: before the final fault {served_before} of {sent_before} requests were served, later than \
         {RECOVER_MS} ms after the machines are back {served} of {sent}"
    );
    scenario.platform.note(&line);
    println!("{line}");
    if sent == 0 || served_before * 4 < sent_before {
        return Ok(None);
    }
    Ok(Some(served * 4 < sent))
}

/// UNASKED: a database runs a request that was smuggled inside another one. A caller sends one message whose last
/// field holds a line feed; the line ends with the next CR LF.
fn line_feed(scenario: &Scenario) -> Option<bool> {
    if !scenario.wait_until_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let mut sent: HashMap<String, String> = HashMap::new();
    for (number, vm) in scenario.vms.iter().enumerate() {
        let between = if scenario.trouble { '\n' } else { ' ' };
        let (id, smuggled) = (format!("m{number}"), format!("s{number}"));
        let text = format!("WRITE i90{number} abc{between}QUERY {smuggled} WRITE i91{number} def");
        sent.insert(id.clone(), text.clone());
        scenario.platform.note(&format!(
            "a caller sends to {}: {:?}",
            vm.name,
            format!("QUERY {id} {text}")
        ));
        let ask = || -> io::Result<Vec<Answer>> {
            let mut caller = Caller::open(vm.front, &database_name(number % SERVICES.len(), 0))?;
            let mut answers = vec![caller.query(&id, &text)?];
            // An answer that nothing was asked for shows that the line was taken for two.
            caller.writer.set_read_timeout(Some(Duration::from_millis(1_500)))?;
            answers.extend(caller.answer().ok());
            Ok(answers)
        };
        match ask() {
            Ok(answers) => scenario.platform.note(&format!("the caller gets {answers:?}")),
            Err(error) => scenario.platform.note(&format!("the caller gets no answer: {error}")),
        }
    }
    let runs = scenario.platform.lock().runs.clone();
    let mut is_broken = false;
    for run in &runs {
        let asked = sent.get(&run.id);
        if asked != Some(&run.text) {
            is_broken = true;
            let line =
                format!("UNASKED: a database ran {} {:?}; sent was {asked:?}", run.id, run.text);
            scenario.platform.note(&line);
            println!("{line}");
        }
    }
    Some(is_broken)
}

/// ONE: two holders promote with the same epoch number after the store came back from a copy.
fn drill(scenario: &Scenario) -> Option<bool> {
    if !scenario.wait_until_ready() {
        return None;
    }
    scenario.start_callers(36);
    thread::sleep(Duration::from_secs(6));
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(300));
    scenario.replace_primaries(1, 0..SERVICES.len());
    if !scenario.wait_for_promotions(SERVICES.len(), Duration::from_secs(15)) {
        scenario.platform.note("the first replacement did not end");
        return None;
    }
    thread::sleep(Duration::from_millis(1_500));
    if scenario.trouble {
        scenario.drill(copied);
    }
    // The databases that were replaced leave, and the store is stable again.
    thread::sleep(Duration::from_secs(14));
    scenario.replace_primaries(2, 0..SERVICES.len());
    let is_over = scenario.wait_for_promotions(2 * SERVICES.len(), Duration::from_secs(25));
    if !is_over {
        scenario.platform.note("the second replacement did not end");
    }
    thread::sleep(Duration::from_secs(1));
    let promotions = scenario.platform.lock().promotions.clone();
    let mut holders: BTreeMap<(String, u64), HashSet<String>> = BTreeMap::new();
    for call in promotions.iter().filter(|call| call.status == 200) {
        let key = (call.service.clone(), call.token);
        holders.entry(key).or_default().insert(call.holder.clone());
    }
    let mut is_broken = false;
    for ((service, token), holders) in holders.iter().filter(|it| it.1.len() > 1) {
        is_broken = true;
        let line = format!("ONE: {service} was promoted with token {token} by {holders:?}");
        scenario.platform.note(&line);
        println!("{line}");
    }
    if !is_over && !is_broken {
        return None;
    }
    Some(is_broken)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, folder, record] = &arguments[..] else {
        eprintln!("usage: standin SCENARIO PROGRAM FOLDER RECORD");
        process::exit(2);
    };
    let (folder, record) = (PathBuf::from(folder), PathBuf::from(record));
    let mut scenario = match Scenario::start(program, &folder, &record, 6) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("could not start: {error}");
            process::exit(2);
        }
    };
    let broken = match name.as_str() {
        "drill" => drill(&scenario),
        "line-feed" => line_feed(&scenario),
        "quiet" => quiet(&scenario),
        "stale-configuration" => stale_configuration(&scenario),
        "recover" => recover(&mut scenario).unwrap_or_else(|error| {
            eprintln!("{error}");
            None
        }),
        _ => None,
    };
    scenario.end();
    let mut verdict = String::new();
    let _ = match broken {
        Some(true) => write!(verdict, "the rule was broken"),
        Some(false) => write!(verdict, "the rule held"),
        None => write!(verdict, "the case could not run"),
    };
    scenario.platform.note(&verdict);
    println!("{verdict}");
    process::exit(match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
