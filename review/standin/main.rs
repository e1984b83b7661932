//! Stand-ins and the scenario of `review/2`: the platform's store, three databases of one service, clients, and the
//! proxies as separate processes. It uses the standard library only.
//!
//! Usage: standin PROGRAM FOLDER RECORD. With TROUBLE=0 in the environment the disruption is left out.
//! Exit status: 1 if an acknowledged commit was lost, 0 if not, 2 if the case could not run.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "ledger";
const DATABASE: &str = "settlements";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// After how many silent heartbeat intervals the store removes an entry.
const SILENT_HEARTBEATS: u32 = 3;
const DRAIN_MS: u64 = 7_000;
const STABLE_WINDOW_MS: u64 = 4_000;
const GRACE_S: u64 = 6;
const PROMOTION: Duration = Duration::from_millis(300);
/// How long a replica is partitioned from the proxies (`node_cut`, how = "servers": up to 12 s in the site files).
const PROXY_CUT: Duration = Duration::from_millis(10_000);
/// How long the same replica is partitioned from the store (`srv_cut`: 5 s in the list of kinds).
const STORE_CUT: Duration = Duration::from_millis(5_000);
/// How long the other replica receives nothing before the primary crashes (`replica_lag`, how = "deaf crash": up to
/// 6.5 s in the site files).
const DEAF: Duration = Duration::from_millis(400);
const STATEMENT: Duration = Duration::from_millis(3);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;

/// What happened, in order, with the time since the start.
struct Record {
    began: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
    fn add(&self, text: String) -> u64 {
        let now = self.now_ms();
        self.lines.lock().unwrap().push((now, text));
        now
    }
}

// The platform's store.

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct StoreEvent {
    revision: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<StoreEvent>,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Rev\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    /// Writes an object if its revision is `expected` (`Some(0)`: it must not exist). Returns the object, or the
    /// present one as the error.
    fn write(&self, kind: &str, name: &str, spec: &str, expected: Option<u64>) -> Result<String, Option<String>> {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let present = state.objects.get(&key).cloned();
        if expected.is_some_and(|expected| expected != present.as_ref().map_or(0, |it| it.revision)) {
            return Err(present.map(|it| object_text(name, &it)));
        }
        if let Some(present) = present.as_ref().filter(|it| it.spec == spec) {
            return Ok(object_text(name, present));
        }
        state.revision += 1;
        let revision = state.revision;
        let created = present.map_or(revision, |it| it.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = object_text(name, &object);
        state.objects.insert(key, object);
        state.events.push(StoreEvent { revision, kind: kind.to_owned(), removed: false, object: text.clone() });
        self.changed.notify_all();
        Ok(text)
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        state.revision += 1;
        let event = StoreEvent {
            revision: state.revision,
            kind: kind.to_owned(),
            removed: true,
            object: object_text(name, &object),
        };
        state.events.push(event);
        self.changed.notify_all();
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind.map(|((_, name), object)| object_text(name, object)).collect();
        format!("{{\"items\":[{}],\"HasMore\":false,\"At\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.events.iter().filter(|it| it.revision > after && it.kind == kind);
            let new: Vec<String> =
                new.map(|it| format!("{{\"Removed\":{},\"Object\":{}}}", it.removed, it.object)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"At\":{}}}", new.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns the text of a value in a JSON object that was written without blanks around the colon.
fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let from = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (at, c) in text[from..].char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            _ if quoted => (),
            '{' | '[' => depth += 1,
            '}' | ']' | ',' if depth == 0 => return Some(&text[from..from + at]),
            '}' | ']' => depth -= 1,
            _ => (),
        }
    }
    None
}

fn respond(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// Serves the store's calls and the promotion call on one connection.
fn serve_platform(mut stream: TcpStream, store: &Store, group: &Arc<Group>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let (mut length, mut token, mut holder) = (0, String::new(), String::new());
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim_end();
            let Some((name, value)) = line.split_once(':') else { break };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "fencing-token" => token = value.trim().to_owned(),
                "duty-holder" => holder = value.trim().to_owned(),
                _ => (),
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parameter = |name: &str| {
            let found = query.split('&').find_map(|it| it.strip_prefix(&format!("{name}=")));
            found.and_then(|value| value.parse::<u64>().ok())
        };
        thread::sleep(Duration::from_millis(2));
        if path == "/promote" {
            let id = json_value(&body, "Id").unwrap_or("").trim_matches('"').to_owned();
            group.record.add(format!("promote {id} token {token} by {holder}"));
            let known = group.promote(&id);
            respond(&mut stream, if known { 200 } else { 409 }, "{}")?;
            continue;
        }
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            respond(&mut stream, 404, "{}")?;
            continue;
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let (status, text) = match method {
            "GET" if name.is_empty() => match parameter("Watch") {
                Some(after) => (200, store.watch(kind, after, Duration::from_millis(parameter("WaitMs").unwrap_or(0)))),
                None => (200, store.list(kind)),
            },
            "GET" => {
                let state = store.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            "POST" | "PUT" => {
                let meta = json_value(&body, "meta").unwrap_or("{}").to_owned() + ",";
                let name = json_value(&meta, "Name").unwrap_or("").trim_matches('"').to_owned();
                let expected = match method {
                    "POST" => Some(0),
                    _ => json_value(&meta, "Rev").and_then(|it| it.parse().ok()),
                };
                match store.write(kind, &name, json_value(&body, "spec").unwrap_or("null"), expected) {
                    Ok(text) => (200, text),
                    Err(present) => (409, present.unwrap_or_else(|| "{}".to_owned())),
                }
            }
            _ => (405, "{}".to_owned()),
        };
        respond(&mut stream, status, &text)?;
    }
}

// The databases.

struct Member {
    id: String,
    /// The term, the number and the write's id of each commit.
    log: Vec<(u64, u64, String)>,
    paused_term: u64,
    alive: bool,
    /// Whether it exchanges no bytes with proxies.
    silent: bool,
    /// Whether it does not reach the store.
    store_cut: bool,
    /// Whether it receives nothing from the primary.
    deaf: bool,
    /// When the store last heard of it, and whether its entry is there.
    seen: Instant,
    listed: bool,
    address: SocketAddr,
    zone: String,
}

struct GroupState {
    term: u64,
    leader: Option<usize>,
    members: Vec<Member>,
    /// The ids of acknowledged writes, with the time and the position.
    acknowledged: Vec<(u64, String, (u64, u64))>,
    /// Those of them that were missing in the log of a database when it became the primary.
    lost: Vec<(u64, String, (u64, u64))>,
}

struct Group {
    state: Mutex<GroupState>,
    changed: Condvar,
    record: Arc<Record>,
    proof: Mutex<u64>,
}

impl Group {
    fn promote(self: &Arc<Self>, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let Some(index) = state.members.iter().position(|it| it.id == id) else { return false };
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION);
            let mut state = group.state.lock().unwrap();
            if state.leader != Some(index) {
                state.term += 1;
                state.leader = Some(index);
                state.members[index].paused_term = 0;
                let log = state.members[index].log.clone();
                let is_missing = |it: &&(u64, String, (u64, u64))| !log.iter().any(|(_, _, id)| *id == it.1);
                let lost: Vec<_> = state.acknowledged.iter().filter(is_missing).cloned().collect();
                state.lost.extend(lost);
                for (other, member) in state.members.iter_mut().enumerate() {
                    let common = member.log.iter().zip(&log).take_while(|(a, b)| a == b).count();
                    if other != index {
                        member.log.truncate(common);
                    }
                }
                group.record.add(format!("{} leads term {}", state.members[index].id, state.term));
            }
            replicate(&mut state);
            group.changed.notify_all();
        });
        true
    }

    fn change<F: FnOnce(&mut GroupState)>(&self, change: F) {
        let mut state = self.state.lock().unwrap();
        change(&mut state);
        replicate(&mut state);
        self.changed.notify_all();
    }

    /// Commits at a member: it is acknowledged once one replica received it.
    fn commit(&self, member: usize, id: &str) -> Result<(), &'static str> {
        let mut state = self.state.lock().unwrap();
        if state.leader != Some(member) {
            return Err("READONLY");
        }
        let term = state.term;
        let number = state.members[member].log.last().map_or(0, |it| it.1) + 1;
        state.members[member].log.push((term, number, id.to_owned()));
        replicate(&mut state);
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let holds = |it: &Member| it.log.iter().any(|(t, n, _)| (*t, *n) == (term, number));
            if !state.members[member].alive {
                return Err("INDOUBT");
            }
            if state.members.iter().filter(|it| holds(it)).count() >= 2 {
                let now = self.record.now_ms();
                state.acknowledged.push((now, id.to_owned(), (term, number)));
                return Ok(());
            }
            if state.leader != Some(member) || Instant::now() >= until {
                return Err("INDOUBT");
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
    }
}

/// Copies the primary's log to all replicas that receive.
fn replicate(state: &mut GroupState) {
    let Some(leader) = state.leader else { return };
    if !state.members[leader].alive {
        return;
    }
    let log = state.members[leader].log.clone();
    for (index, member) in state.members.iter_mut().enumerate() {
        if index != leader && member.paused_term == 0 && member.alive && !member.deaf {
            member.log.clone_from(&log);
        }
    }
}

fn position(member: &Member) -> String {
    member.log.last().map_or("-".to_owned(), |(term, number, _)| format!("{term}.{number}"))
}

/// Serves one connection of a database.
fn serve_database(stream: TcpStream, group: &Group, index: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let (mut from, mut transaction, mut failed) = (String::new(), None::<(u64, bool)>, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut state = group.state.lock().unwrap();
        while state.members[index].silent {
            state = group.changed.wait_timeout(state, Duration::from_millis(100)).unwrap().0;
        }
        if !state.members[index].alive {
            return Ok(());
        }
        drop(state);
        let line = line.trim_end().to_owned();
        let words: Vec<&str> = line.split(' ').collect();
        if words[0] == "STARTUP" {
            thread::sleep(Duration::from_millis(12));
            from = words.get(2).unwrap_or(&"").to_string();
            let state = group.state.lock().unwrap();
            let member = &state.members[index];
            let is_right = words.get(1) == Some(&SERVICE) && words.get(3).is_none_or(|id| *id == member.id);
            let answer = match is_right {
                true => format!("READY I {}\r\n", position(member)),
                false => "ERROR MISROUTED\r\n".to_owned(),
            };
            drop(state);
            out.write_all(answer.as_bytes())?;
            if !is_right {
                return Ok(());
            }
            continue;
        }
        if words[0] != "QUERY" {
            return Ok(());
        }
        let (id, mut text) = (words[1], &words[2..]);
        let mut rows = String::new();
        let mut lacks_position = false;
        if text[0] == "MINPOS" {
            let (term, number) = text[1].split_once('.').unwrap_or(("0", "0"));
            let needed = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let state = group.state.lock().unwrap();
            lacks_position = state.members[index].log.last().map_or((0, 0), |it| (it.0, it.1)) < needed;
            text = &text[2..];
        }
        if id != "-" {
            group.record.add(format!("member {index} receives from {from}: {line}"));
        }
        let leads = || group.state.lock().unwrap().leader == Some(index);
        let proof = || {
            let mut proof = group.proof.lock().unwrap();
            *proof += 1;
            format!("p{}", *proof)
        };
        let result: Result<String, &str> = match text[0] {
            _ if lacks_position => Err("LAGGING"),
            "ROLLBACK" => {
                (transaction, failed) = (None, false);
                Ok("-".to_owned())
            }
            _ if failed => Err("MALFORMED"),
            "RESET" | "SET" | "PARSE" | "CLOSE" => Ok("-".to_owned()),
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let term: u64 = text.get(1).and_then(|it| it.parse().ok()).unwrap_or(0);
                group.change(|state| {
                    let newest = state.term;
                    match text[0] {
                        "PAUSE" if term > newest && state.leader != Some(index) => {
                            state.members[index].paused_term = term
                        }
                        "RESUME" => state.members[index].paused_term = 0,
                        "STEPDOWN" if term > newest && state.leader == Some(index) => state.leader = None,
                        _ => (),
                    }
                });
                if text[0] != "PAUSE" || term > 0 {
                    group.record.add(format!("order {} at member {index} from {from}", text.join(" ")));
                }
                let state = group.state.lock().unwrap();
                let member = &state.members[index];
                let role = if state.leader == Some(index) { "primary" } else { "replica" };
                rows = format!("ROW {role} {} {} {} 0 0 1\r\n", state.term, position(member), member.paused_term);
                Ok("-".to_owned())
            }
            "BEGIN" if text.get(1) == Some(&"READ") => {
                transaction = Some((0, false));
                Ok("-".to_owned())
            }
            "BEGIN" => match leads() {
                true => {
                    transaction = Some((group.state.lock().unwrap().term, false));
                    Ok("-".to_owned())
                }
                false => Err("READONLY"),
            },
            "READ" | "WRITE" | "COMMIT" => {
                thread::sleep(STATEMENT);
                let term = group.state.lock().unwrap().term;
                let lost = transaction.is_some_and(|(began, _)| began != 0 && (began != term || !leads()));
                match (text[0], transaction) {
                    _ if lost => Err("READONLY"),
                    ("READ", _) => {
                        rows = "ROW value\r\n".to_owned();
                        Ok(proof())
                    }
                    ("WRITE", Some((0, _))) => Err("READONLY"),
                    ("WRITE", Some((began, _))) => {
                        transaction = Some((began, true));
                        Ok(proof())
                    }
                    ("COMMIT", None) => Err("MALFORMED"),
                    ("COMMIT", Some((_, false))) => {
                        transaction = None;
                        Ok(proof())
                    }
                    _ => {
                        transaction = None;
                        group.commit(index, id).map(|()| proof())
                    }
                }
            }
            _ => Err("MALFORMED"),
        };
        let end = match &result {
            Ok(proof) => format!("COMPLETE {proof}\r\n"),
            Err(code) => format!("ERROR {code} no\r\n"),
        };
        if result.is_err() && transaction.is_some() {
            failed = true;
        }
        let status = if failed { "E" } else if transaction.is_some() { "T" } else { "I" };
        let state = group.state.lock().unwrap();
        if !state.members[index].alive {
            return Ok(());
        }
        let position = position(&state.members[index]);
        drop(state);
        out.write_all(format!("{rows}{end}READY {status} {position}\r\n").as_bytes())?;
    }
}

fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

fn free_port() -> std::io::Result<u16> {
    Ok(listen()?.1.port())
}

/// Lets the databases write their entries: a heartbeat at its interval, and each change of role at once. Removes the
/// entries of those that were silent for three intervals.
fn keep_entries(store: &Store, group: &Group) {
    let mut state = group.state.lock().unwrap();
    let leader = state.leader;
    for (index, member) in state.members.iter_mut().enumerate() {
        let role = if leader == Some(index) { "primary" } else { "replica" };
        let spec = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":5,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"DbRole\":\"{role}\"}}",
            member.address, member.zone
        );
        if member.alive && !member.store_cut {
            // An entry that is there is written again only if it differs.
            if member.listed || member.seen.elapsed() >= HEARTBEAT {
                let _ = store.write("servers", &member.id, &spec, None);
                member.listed = true;
            }
            if member.seen.elapsed() >= HEARTBEAT {
                member.seen = Instant::now();
            }
        }
        if member.listed && member.seen.elapsed() >= HEARTBEAT * SILENT_HEARTBEATS {
            store.remove("servers", &member.id);
            member.listed = false;
            group.record.add(format!("the store removes the entry of {}", member.id));
        }
    }
}

// The proxies and the clients.

struct Proxy {
    name: String,
    settings: String,
    front: SocketAddr,
    ready: SocketAddr,
    child: Mutex<Option<Child>>,
    started_ms: Mutex<u64>,
}

impl Proxy {
    fn start(&self, program: &str, folder: &str, record: &Record) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(format!("{folder}/{}.log", self.name))?;
        let child = Command::new(program)
            .env("SKYLARKLB_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.started_ms.lock().unwrap() = record.add(format!("{} starts", self.name));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // SAFETY: the process was started here and has not been waited for, so that the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended, and kills it after the grace period.
    fn wait(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let mut child = self.child.lock().unwrap().take();
        while let Some(running) = child.as_mut() {
            if matches!(running.try_wait(), Ok(Some(_)) | Err(_)) {
                return;
            }
            if Instant::now() >= until {
                let _ = running.kill();
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let asked = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut answer = [0; 12];
        asked.is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
    }
}

/// A client with one session at a proxy: a write every 25 ms, and a read of the `primary` route as each fifth.
fn run_client(number: usize, proxy: &Proxy, record: &Record, stop: &Mutex<bool>) {
    let mut count = 0;
    while !*stop.lock().unwrap() {
        if !proxy.is_ready() {
            thread::sleep(Duration::from_millis(200));
            continue;
        }
        let Ok(stream) = TcpStream::connect_timeout(&proxy.front, Duration::from_secs(1)) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let Ok(mut out) = stream.try_clone() else { continue };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let greeted = out.write_all(format!("STARTUP {DATABASE}\r\n").as_bytes());
        if greeted.is_err() || reader.read_line(&mut line).is_err() || !line.starts_with("READY") {
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        'session: while !*stop.lock().unwrap() {
            count += 1;
            let id = format!("c{number}x{count}");
            let text = if count % 5 == 0 { format!("READ i{number}") } else { format!("WRITE i{number} d{count}") };
            record.add(format!("client {number} sends {id} {text} to {}", proxy.name));
            if out.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
                break;
            }
            let mut answer = String::new();
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(1..) => (),
                    _ => {
                        record.add(format!("client {number} gets no answer to {id}"));
                        break 'session;
                    }
                }
                if line.starts_with("READY") {
                    break;
                }
                answer = line.trim_end().to_owned();
            }
            record.add(format!("client {number} gets {id} {answer}"));
            thread::sleep(Duration::from_millis(25));
        }
    }
}

fn settings_of(name: &str, zone: &str, front: SocketAddr, ready: SocketAddr, peer: u16, platform: SocketAddr) -> String {
    format!(
        "Node = \"{name}\"\nRole = \"proxy\"\nClass = \"edge\"\nServes = [\"edge\"]\nIp = \"127.0.0.1\"\nZone = \"{zone}\"\n\
         Region = \"r\"\nInternalPorts = [{peer}, {peer}]\nBootstrap = true\nHeartbeatMs = 1200\n\
         [Listen]\nFront = \"{front}\"\nReady = \"{ready}\"\n\
         [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4300\nLinkMbps = 1000.0\n\
         [Bounds]\nStableWindowMs = {STABLE_WINDOW_MS}\nDrainMs = {DRAIN_MS}\nGraceS = {GRACE_S}\nFenceChecked = false\n\
         [platform]\nAddress = \"{platform}\"\nform = \"objects\"\n[Cloud]\nAddress = \"{platform}\"\n"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let [_, program, folder, record_path] = arguments.as_slice() else {
        eprintln!("usage: standin PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let record = Arc::new(Record { began: Instant::now(), lines: Mutex::default() });
    let proxies: Arc<Mutex<Vec<Arc<Proxy>>>> = Arc::default();
    let result = run(program, folder, &record, has_trouble, &proxies);
    for proxy in proxies.lock().unwrap().iter() {
        proxy.signal(SIGKILL);
        proxy.wait(Duration::from_secs(1));
    }
    let (status, verdict) = match result {
        Ok(Verdict::Held(text)) => (0, format!("the rule held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("the rule was broken: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("the case could not run: {text}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    let lines = record.lines.lock().unwrap();
    let mut text: String = lines.iter().map(|(at, line)| format!("{at:>6} ms  {line}\n")).collect();
    text.push_str(&format!("{verdict}\n"));
    let written = fs::write(record_path, text);
    println!("{verdict}");
    std::process::exit(if written.is_ok() { status } else { 2 });
}

enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn run(
    program: &str,
    folder: &str,
    record: &Arc<Record>,
    has_trouble: bool,
    proxies: &Arc<Mutex<Vec<Arc<Proxy>>>>,
) -> std::io::Result<Verdict> {
    let store = Arc::new(Store { state: Mutex::default(), changed: Condvar::new() });
    let mut listeners = Vec::new();
    let mut members = Vec::new();
    for number in 1..=3 {
        let (listener, address) = listen()?;
        listeners.push(listener);
        members.push(Member {
            id: format!("i-{number}"),
            log: vec![(1, 1, String::new())],
            paused_term: 0,
            alive: true,
            silent: false,
            store_cut: false,
            deaf: false,
            seen: Instant::now(),
            listed: true,
            address,
            zone: format!("z{number}"),
        });
    }
    let state = GroupState { term: 1, leader: Some(0), members, acknowledged: Vec::new(), lost: Vec::new() };
    let group = Arc::new(Group {
        state: Mutex::new(state),
        changed: Condvar::new(),
        record: Arc::clone(record),
        proof: Mutex::default(),
    });
    for (index, listener) in listeners.into_iter().enumerate() {
        let group = Arc::clone(&group);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = Arc::clone(&group);
                thread::spawn(move || serve_database(stream, &group, index));
            }
        });
    }
    let (listener, platform) = listen()?;
    {
        let (store, group) = (Arc::clone(&store), Arc::clone(&group));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, group) = (Arc::clone(&store), Arc::clone(&group));
                thread::spawn(move || serve_platform(stream, &store, &group));
            }
        });
    }
    let config = format!(
        "{{\"Version\":3,\"Routes\":[{{\"Name\":\"r1\",\"DbName\":\"{DATABASE}\",\"Kind\":\"primary\",\"Service\":\"{SERVICE}\",\"TimeoutMs\":1000,\"SloMs\":200,\"Priority\":1,\"MaxStalenessMs\":0}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"MaxConns\":32,\"SyncReplicas\":1}}],\"Limits\":{{\"TxIdleMs\":3000}}}}"
    );
    let _ = store.write("config", "main", &config, None);
    keep_entries(&store, &group);
    {
        let (store, group) = (Arc::clone(&store), Arc::clone(&group));
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            keep_entries(&store, &group);
        });
    }
    for (number, name) in ["edge-z1-1", "edge-z2-1", "edge-z3-1"].iter().enumerate() {
        let front = SocketAddr::from(([127, 0, 0, 1], free_port()?));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()?));
        let settings = format!("{folder}/{name}.toml");
        let zone = format!("z{}", number + 1);
        fs::write(&settings, settings_of(name, &zone, front, ready, free_port()?, platform))?;
        let proxy = Proxy {
            name: (*name).to_owned(),
            settings,
            front,
            ready,
            child: Mutex::default(),
            started_ms: Mutex::default(),
        };
        proxy.start(program, folder, record)?;
        proxies.lock().unwrap().push(Arc::new(proxy));
    }
    let all: Vec<Arc<Proxy>> = proxies.lock().unwrap().clone();
    let until = Instant::now() + Duration::from_secs(15);
    while !all.iter().all(|it| it.is_ready()) {
        if Instant::now() >= until {
            return Ok(Verdict::NotRun("the proxies are not ready".to_owned()));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let stop = Arc::new(Mutex::new(false));
    let mut clients = Vec::new();
    for number in 0..6 {
        let (proxy, record, stop) = (Arc::clone(&all[number % 3]), Arc::clone(record), Arc::clone(&stop));
        clients.push(thread::spawn(move || run_client(number, &proxy, &record, &stop)));
    }
    // Calm for longer than the span after which machines are in touch.
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 1_000));
    if has_trouble {
        disturb(&group);
    } else {
        thread::sleep(PROXY_CUT);
    }
    thread::sleep(Duration::from_millis(2_000));
    *stop.lock().unwrap() = true;
    for client in clients {
        let _ = client.join();
    }
    let state = group.state.lock().unwrap();
    let lines = record.lines.lock().unwrap();
    let is_answered = |id: &str| lines.iter().any(|(_, line)| line.contains(&format!(" gets {id} COMPLETE p")));
    let lost: Vec<_> = state.lost.iter().filter(|it| is_answered(&it.1)).collect();
    let acknowledged = state.acknowledged.len();
    if acknowledged < 100 {
        return Ok(Verdict::NotRun(format!("only {acknowledged} writes were acknowledged")));
    }
    Ok(match (lost.first(), lost.last()) {
        (Some(first), Some(last)) => Verdict::Broken(format!(
            "{} acknowledged commits, {}.{} to {}.{}, are not in the log of the database that was promoted; {acknowledged} \
             writes were acknowledged",
            lost.len(),
            first.2.0,
            first.2.1,
            last.2.0,
            last.2.1
        )),
        _ => Verdict::Held(format!("{acknowledged} writes were acknowledged, none of them was lost")),
    })
}

/// The disruption: i-2 is partitioned from the proxies and the store, but not from the other databases. The store removes
/// its entry. Then i-3 receives nothing for a moment, and the primary i-1 crashes.
fn disturb(group: &Arc<Group>) {
    let record = &group.record;
    // Half an interval after a heartbeat, as is usual.
    while group.state.lock().unwrap().members[1].seen.elapsed() < HEARTBEAT / 2 {
        thread::sleep(Duration::from_millis(5));
    }
    let cut = Instant::now();
    record.add("i-2 is partitioned from the proxies and the store".to_owned());
    group.change(|state| (state.members[1].silent, state.members[1].store_cut) = (true, true));
    while group.state.lock().unwrap().members[1].listed {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    record.add("i-3 receives nothing from now on".to_owned());
    group.change(|state| state.members[2].deaf = true);
    thread::sleep(DEAF);
    record.add("i-1, the primary, crashes".to_owned());
    group.change(|state| (state.members[0].alive, state.members[2].deaf) = (false, false));
    thread::sleep(STORE_CUT.saturating_sub(cut.elapsed()));
    record.add("i-2 reaches the store again".to_owned());
    group.change(|state| state.members[1].store_cut = false);
    thread::sleep(PROXY_CUT.saturating_sub(cut.elapsed()));
    record.add("i-2 reaches the proxies again".to_owned());
    group.change(|state| state.members[1].silent = false);
}
