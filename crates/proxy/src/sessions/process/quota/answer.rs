//! The allocator's side of quotas: grants operations to other VMs.
//!
//! A request is a line with the command `GRANT` and one organisation's name for each operation. The answer
//! has one field for each of them, separated by white space: `1` for a grant, `0:` with the number of
//! microseconds after which to ask again, or `-` if this VM is no allocator of the organisation.

use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::process::quota::Grant;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::socket;
use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::quota::ask::Answer;

/// The command of a request.
const GRANT: &str = "GRANT";

/// The answer for an organisation that this VM does not allocate.
const NOT_HERE: &str = "-";

/// How long a peer may send no request before its connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a peer may read nothing of an answer.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a message, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Whether a message is a request for grants.
pub fn is_request(message: &[u8]) -> bool {
    message.strip_prefix(GRANT.as_bytes()).is_some_and(|rest| rest.starts_with(b" "))
}

/// Encodes a request for one operation of each of these organisations.
pub fn encode_request<'a, N>(names: N) -> String
where
    N: Iterator<Item = &'a str>,
{
    let mut line = GRANT.to_owned();
    for name in names {
        line.push(' ');
        line.push_str(name);
    }
    line.push('\n');
    line
}

/// Decodes an answer, in the order of the request.
pub fn decode_answers(line: &[u8]) -> impl Iterator<Item = Answer> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    text.split_whitespace().map(|field| match field {
        NOT_HERE => Answer::NotHere,
        "1" => Answer::Grant(Grant { granted: 1, retry_after_us: 0 }),
        _ => match field.strip_prefix("0:").and_then(|after| after.parse().ok()) {
            Some(retry_after_us) => Answer::Grant(Grant { granted: 0, retry_after_us }),
            None => Answer::Nothing,
        },
    })
}

/// Reads the next line.
///
/// # Errors
///
/// An I/O error of the stream, of kind `UnexpectedEof` at its end, or `InvalidData` for a line that is too
/// long.
pub async fn next_line(stream: &TcpStream, input: &mut BytesMut) -> io::Result<BytesMut> {
    loop {
        if let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            return Ok(input.split_to(end + 1));
        }
        if input.len() > MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if socket::read_some(stream, input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Answers the requests of one peer until it disconnects or is silent.
pub async fn answer<C>(
    gateway: &Arc<Gateway<C>>,
    stream: &TcpStream,
    first: BytesMut,
    mut input: BytesMut,
) where
    C: Codec,
{
    let mut line = first;
    loop {
        let Some(answer) = answer_to(gateway, &line) else { return };
        if socket::write_all(stream, answer.as_bytes(), SEND_TIMEOUT).await.is_err() {
            return;
        }
        match time::timeout(SILENCE_TIMEOUT, next_line(stream, &mut input)).await {
            Ok(Ok(next)) => line = next,
            _ => return,
        }
    }
}

fn answer_to<C>(gateway: &Gateway<C>, line: &[u8]) -> Option<String>
where
    C: Codec,
{
    let names = std::str::from_utf8(line).ok()?.strip_prefix(GRANT)?;
    let view = gateway.view();
    let organisations = view.organisations();
    let mut answer = String::new();
    for name in names.split_whitespace() {
        let organisation = organisations.and_then(|organisations| organisations.named(name));
        let limit = organisation.and_then(|organisation| organisation.limit);
        let granted = match (organisation, limit) {
            (Some(organisation), Some(limit)) => gateway.quotas.grant(&organisation.name, limit, 1),
            _ => None,
        };
        // Writing to a string does not fail.
        let _ = match granted {
            None => write!(answer, "{NOT_HERE} "),
            Some(Grant { granted: 1.., .. }) => write!(answer, "1 "),
            Some(Grant { retry_after_us, .. }) => write!(answer, "0:{retry_after_us} "),
        };
    }
    answer.push('\n');
    Some(answer)
}
