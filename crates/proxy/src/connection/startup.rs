//! The start-up of a caller's connection, from its first byte to the first ReadyForQuery.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use skylark_core::request::error_kind::ErrorKind;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::caller;
use crate::connection::caller::Caller;
use crate::connection::caller_input::CallerInput;
use crate::connection::callers::CallerPermit;
use crate::connection::cancel::CancelSlot;
use crate::connection::frames;
use crate::connection::session::Session;
use crate::connection::socket;
use crate::connection::target_connection::CancelKey;
use crate::process::counters::Event;
use crate::process::traffic::Traffic;
use crate::request::parameters;
use crate::request::parameters::LocalStatement;
use crate::request::parameters::Parameter;
use crate::request::refusal::Refusal;

/// Request codes sent in place of a protocol version.
const CANCEL_CODE: u32 = 80_877_102;
const SSL_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;

/// The supported major protocol version. A client of version 3.0 or any higher minor version is served
/// as 3.0 clients are.
const MAJOR_VERSION: u32 = 3;

/// The largest start-up packet in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The parameter in which a forwarding proxy gives the name of its VM.
const FORWARDED_PARAMETER: &str = "skylark.forwarded";

/// Start-up parameters that drivers send and that the proxy ignores.
const IGNORED_PARAMETERS: [&str; 8] = [
    "application_name",
    "datestyle",
    "timezone",
    "extra_float_digits",
    "intervalstyle",
    "fallback_application_name",
    "search_path",
    "bytea_output",
];

/// The request in an untyped packet at the beginning of a connection.
#[derive(Debug)]
enum Packet {
    Encryption,
    Cancel(CancelKey),
    Startup(Vec<(String, String)>),
}

/// A caller that completed its start-up, with its slot among the callers.
pub type StartedCaller = (Caller, CallerPermit);

/// Performs the start-up of a new connection. Returns `None` if the connection ended there.
pub async fn run_startup(traffic: &Arc<Traffic>, stream: TcpStream) -> Option<StartedCaller> {
    let limit = Duration::from_millis(traffic.limits.startup_ms);
    let mut input = BytesMut::new();
    let packet = time::timeout(limit, read_packets(&stream, &mut input)).await;
    let refusal = match packet {
        Ok(Ok(Packet::Startup(parameters))) => match start_session(traffic, &parameters) {
            Ok((session, permit)) => {
                return finish_startup(traffic, stream, input, session, permit).await;
            }
            Err(refusal) => refusal,
        },
        Ok(Ok(Packet::Cancel(key))) => {
            cancel(traffic, key).await;
            return None;
        }
        Ok(Ok(Packet::Encryption)) => ErrorKind::ProtocolViolation.into(),
        Ok(Err(Some(refusal))) => refusal,
        Ok(Err(None)) => return None,
        Err(_) => ErrorKind::StartupTimedOut.into(),
    };
    refuse(traffic, &stream, &refusal).await;
    None
}

/// Refuses a connection during its start-up.
pub async fn refuse(traffic: &Traffic, stream: &TcpStream, refusal: &Refusal) {
    traffic.counters.refusal(refusal.kind);
    let mut out = BytesMut::new();
    refusal.write(&mut out);
    let _ = socket::write_all(stream, &out, Duration::from_millis(200)).await;
}

async fn cancel(traffic: &Traffic, key: CancelKey) {
    let timeout = Duration::from_millis(traffic.limits.connect_ms);
    let event = match traffic.cancels.cancel(key, timeout).await {
        true => Event::CancelsForwarded,
        false => Event::CancelsIgnored,
    };
    traffic.counters.event(event);
}

/// Reads up to the start-up packet and declines requests for encryption. The error is `None` if the
/// connection is gone.
async fn read_packets(stream: &TcpStream, input: &mut BytesMut) -> Result<Packet, Option<Refusal>> {
    // A client requests each kind of encryption at most once.
    for _ in 0..3 {
        match read_packet(stream, input).await? {
            Packet::Encryption => {
                let sent = socket::write_all(stream, b"N", Duration::from_secs(1)).await;
                sent.map_err(|_| None)?;
            }
            packet => return Ok(packet),
        }
    }
    Err(Some(ErrorKind::ProtocolViolation.into()))
}

async fn read_packet(stream: &TcpStream, input: &mut BytesMut) -> Result<Packet, Option<Refusal>> {
    read_at_least(stream, input, 8).await?;
    let length = u32::from_be_bytes([input[0], input[1], input[2], input[3]]) as usize;
    let code = u32::from_be_bytes([input[4], input[5], input[6], input[7]]);
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(Some(bad_packet("the start-up packet has no possible length")));
    }
    read_at_least(stream, input, length).await?;
    let mut body = input.split_to(length);
    body.advance(8);
    match code {
        SSL_CODE | GSS_CODE => Ok(Packet::Encryption),
        CANCEL_CODE => parse_cancel(&body).ok_or_else(|| Some(bad_packet("bad cancel request"))),
        version if version >> 16 == MAJOR_VERSION => parse_parameters(&body).map_err(Some),
        _ => Err(Some(bad_packet("only protocol version 3 is served"))),
    }
}

async fn read_at_least(
    stream: &TcpStream,
    input: &mut BytesMut,
    bytes: usize,
) -> Result<(), Option<Refusal>> {
    while input.len() < bytes {
        match socket::read_some(stream, input).await {
            Ok(0) | Err(_) => return Err(None),
            Ok(_) => (),
        }
    }
    Ok(())
}

fn bad_packet(note: &str) -> Refusal {
    Refusal::with_note(ErrorKind::ProtocolViolation, note.to_owned())
}

fn parse_cancel(body: &[u8]) -> Option<Packet> {
    let [a, b, c, d, e, f, g, h] = body else { return None };
    let process_id = i32::from_be_bytes([*a, *b, *c, *d]);
    let secret = i32::from_be_bytes([*e, *f, *g, *h]);
    Some(Packet::Cancel(CancelKey { process_id, secret }))
}

fn parse_parameters(mut body: &[u8]) -> Result<Packet, Refusal> {
    let bad = || bad_packet("the parameters of the start-up packet are not terminated");
    let mut parameters = Vec::new();
    loop {
        let (name, rest) = frames::split_cstr(body).ok_or_else(bad)?;
        if name.is_empty() {
            return Ok(Packet::Startup(parameters));
        }
        let (value, rest) = frames::split_cstr(rest).ok_or_else(bad)?;
        let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| bad());
        parameters.push((text(name)?, text(value)?));
        body = rest;
    }
}

fn start_session(
    traffic: &Arc<Traffic>,
    parameters: &[(String, String)],
) -> Result<(Session, CallerPermit), Refusal> {
    let published = traffic.slot.load_full();
    if published.stopping {
        return Err(ErrorKind::ShuttingDown.into());
    }
    if !published.ready {
        return Err(ErrorKind::NotReady.into());
    }
    let find = |wanted: &str| {
        let found = parameters.iter().find(|(name, _)| name == wanted);
        found.map(|(_, value)| value.as_str())
    };
    let user = find("user").ok_or_else(|| bad_packet("the start-up names no user"))?;
    let group = find("database").unwrap_or(user);
    if published.topology.group_id(group).is_none() {
        return Err(Refusal::with_note(ErrorKind::UnknownGroup, group.to_owned()));
    }
    let mut session = Session::new(group, user);
    session.forwarded_by = find(FORWARDED_PARAMETER).map(Box::from);
    // Another proxy limits its own connections, and they carry requests of many users.
    let permit = traffic.callers.admit(session.forwarded_by.is_none().then_some(user))?;
    for (name, value) in parameters {
        apply_startup_parameter(traffic, &mut session, name, value)?;
    }
    session.record_initial_declarations();
    Ok((session, permit))
}

fn apply_startup_parameter(
    traffic: &Traffic,
    session: &mut Session,
    name: &str,
    value: &str,
) -> Result<(), Refusal> {
    let lower = name.to_ascii_lowercase();
    match lower.as_str() {
        "user" | "database" | FORWARDED_PARAMETER => Ok(()),
        "options" => apply_options(traffic, session, value),
        "client_encoding" => check_encoding(value),
        // Protocol extensions of later minor versions, which a server may ignore.
        _ if lower.starts_with("_pq_.") => Ok(()),
        _ if IGNORED_PARAMETERS.contains(&lower.as_str()) => Ok(()),
        _ if lower.starts_with(parameters::PREFIX) => {
            let parameter = Parameter::from_name(&lower);
            let parameter = parameter.filter(|parameter| parameter.can_set());
            let parameter = parameter.ok_or_else(|| parameters::unknown_parameter(name))?;
            let set = LocalStatement::Set(parameter, value.to_owned());
            let published = traffic.slot.load_full();
            session.apply(&set, &published, &traffic.vm)?;
            Ok(())
        }
        _ => {
            let note = format!("the start-up parameter `{name}` is not accepted");
            Err(Refusal::with_note(ErrorKind::Unsupported, note))
        }
    }
}

fn check_encoding(value: &str) -> Result<(), Refusal> {
    let normalized: String = value.chars().filter(char::is_ascii_alphanumeric).collect();
    match normalized.to_ascii_lowercase().as_str() {
        "utf8" | "unicode" => Ok(()),
        _ => {
            let note = format!("`client_encoding` is `{value}`, accepted is `UTF8`");
            Err(Refusal::with_note(ErrorKind::BadParameter, note))
        }
    }
}

/// Applies the settings in `options`, given as `-c NAME=VALUE` or `--NAME=VALUE` with blanks in values
/// escaped by `\`.
fn apply_options(traffic: &Traffic, session: &mut Session, options: &str) -> Result<(), Refusal> {
    let words = split_words(options);
    let mut words = words.iter().map(String::as_str);
    while let Some(word) = words.next() {
        let setting = match (word, word.strip_prefix("--"), word.strip_prefix("-c")) {
            ("-c", ..) => words.next(),
            (_, Some(long), _) => Some(long),
            (_, _, Some(joined)) => Some(joined),
            _ => None,
        };
        let pair = setting.and_then(|setting| setting.split_once('='));
        let Some((name, value)) = pair else {
            let note = format!("`options` has `{word}`, accepted is `-c NAME=VALUE`");
            return Err(Refusal::with_note(ErrorKind::BadParameter, note));
        };
        apply_startup_parameter(traffic, session, name, value)?;
    }
    Ok(())
}

fn split_words(options: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut chars = options.chars();
    while let Some(next) = chars.next() {
        match next {
            '\\' => word.extend(chars.next()),
            blank if blank.is_whitespace() => words.push(std::mem::take(&mut word)),
            other => word.push(other),
        }
    }
    words.push(word);
    words.retain(|word| !word.is_empty());
    words
}

async fn finish_startup(
    traffic: &Arc<Traffic>,
    stream: TcpStream,
    input: BytesMut,
    session: Session,
    permit: CallerPermit,
) -> Option<StartedCaller> {
    let cancel = Arc::new(CancelSlot::default());
    let cancel_key = traffic.cancels.register(&cancel);
    let mut out = BytesMut::new();
    caller::write_startup_response(&mut out, cancel_key, &session.token());
    let budget = traffic.budget_of(&session.group);
    let caller = Caller {
        traffic: Arc::clone(traffic),
        stream,
        session,
        pinned: None,
        cancel,
        cancel_key,
        budget,
        skip_to_sync: false,
        batch: None,
        input: CallerInput::new(input),
        stopping: traffic.stopping(),
    };
    let written = socket::write_all(&caller.stream, &out, traffic.limits.slow_reader()).await;
    written.ok()?;
    traffic.counters.event(Event::CallersAccepted);
    Some((caller, permit))
}
