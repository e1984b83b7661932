//! Granting operations to other VMs. A question is a line with the word `GRANT` and the names of organisations,
//! one for each operation; the answer has for each of them `1`, or `0` and after how many microseconds to ask
//! again, or `-` where this VM allocates nothing of the organisation.

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

/// The word that begins a question.
const GRANT: &str = "GRANT";

/// What stands for an organisation that nothing is allocated of.
const NOT_HERE: &str = "-";

/// How long one who asks may stay silent before its connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an answer may wait to be taken.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest message, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Whether another VM asks for grants.
pub fn is_request(message: &[u8]) -> bool {
    message.strip_prefix(GRANT.as_bytes()).is_some_and(|rest| rest.starts_with(b" "))
}

/// The question for one operation of each of these organisations.
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

/// What an answer says, in the order of the question.
pub fn decode_answers(line: &[u8]) -> impl Iterator<Item = Answer> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    text.split_whitespace().map(|word| match word {
        NOT_HERE => Answer::NotHere,
        "1" => Answer::Grant(Grant { granted: 1, retry_after_us: 0 }),
        _ => match word.strip_prefix("0:").and_then(|after| after.parse().ok()) {
            Some(retry_after_us) => Answer::Grant(Grant { granted: 0, retry_after_us }),
            None => Answer::Nothing,
        },
    })
}

/// Reads the next line.
///
/// # Errors
///
/// An error of the stream, `UnexpectedEof` at its end, or `InvalidData` for a line that is too long.
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

/// Answers one who asks until it goes.
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
        // Memory takes all that is written to it.
        let _ = match granted {
            None => write!(answer, "{NOT_HERE} "),
            Some(Grant { granted: 1.., .. }) => write!(answer, "1 "),
            Some(Grant { retry_after_us, .. }) => write!(answer, "0:{retry_after_us} "),
        };
    }
    answer.push('\n');
    Some(answer)
}
