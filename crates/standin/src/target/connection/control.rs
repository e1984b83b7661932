//! Control connections: commands to the member, and notifications of its status.

use std::net::SocketAddr;
use std::sync::Arc;

use postgres_protocol::message::backend::EMPTY_QUERY_RESPONSE_TAG;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use tokio::sync::watch;

use crate::target::Target;
use crate::target::error::TargetError;
use crate::target::sql::lexer;
use crate::target::sql::lexer::Token;
use crate::target::sql::lexer::TokenKind;

use super::backend;
use super::backend::TransactionState;
use super::frontend::Message;
use super::types::Column;
use super::types::Type;
use super::wire::Wire;
use super::wire::WireError;

/// The channel of the status, and the column of its answers.
const STATUS_CHANNEL: &str = "group_status";

/// A command of a control connection.
#[derive(Clone, PartialEq, Eq, Debug)]
enum Command {
    Show,
    RaiseTerm(Term, String),
    Promote(Term, String),
    Follow(Term, SocketAddr),
    Listen,
}

/// Serves a control connection until it ends.
///
/// # Errors
///
/// If the peer closed the connection or violates the protocol.
pub async fn serve(target: &Arc<Target>, wire: &mut Wire<'_>) -> Result<(), WireError> {
    let mut listening = None;
    loop {
        let message = tokio::select! {
            message = wire.next() => message?,
            status = next_status(&mut listening) => {
                notify(target, wire, &status).await?;
                continue;
            }
        };
        match message {
            Message::Query(sql) => {
                answer(target, wire, &sql, &mut listening);
                backend::ready(&mut wire.output, TransactionState::Idle);
            }
            Message::Terminate => return Ok(()),
            Message::Sync => backend::ready(&mut wire.output, TransactionState::Idle),
            Message::Flush => {}
            _ => {
                let error = TargetError::Unsupported("anything but simple queries".to_owned());
                backend::error(&mut wire.output, "ERROR", &error);
            }
        }
        wire.flush().await?;
    }
}

async fn next_status(listening: &mut Option<watch::Receiver<MemberStatus>>) -> MemberStatus {
    if let Some(receiver) = listening
        && receiver.changed().await.is_ok()
    {
        return receiver.borrow_and_update().clone();
    }
    std::future::pending().await
}

async fn notify(
    target: &Target,
    wire: &mut Wire<'_>,
    status: &MemberStatus,
) -> Result<(), WireError> {
    target.counters.notices.add();
    backend::notification(&mut wire.output, 0, STATUS_CHANNEL, &json(status));
    wire.flush().await
}

fn answer(
    target: &Arc<Target>,
    wire: &mut Wire<'_>,
    sql: &str,
    listening: &mut Option<watch::Receiver<MemberStatus>>,
) {
    let statements = lexer::statements(sql);
    if statements.is_empty() {
        backend::bare(&mut wire.output, EMPTY_QUERY_RESPONSE_TAG);
    }
    for statement in statements {
        match parse(statement) {
            Ok(command) => run(target, wire, command, listening),
            Err(error) => {
                backend::error(&mut wire.output, "ERROR", &error);
                return;
            }
        }
    }
}

fn run(
    target: &Arc<Target>,
    wire: &mut Wire<'_>,
    command: Command,
    listening: &mut Option<watch::Receiver<MemberStatus>>,
) {
    let tag = if command == Command::Show { "SHOW" } else { "SELECT 1" };
    let status = match command {
        Command::Show => target.status(),
        Command::RaiseTerm(term, driver) => target.raise_term(term, &driver),
        Command::Promote(term, driver) => target.promote(term, &driver),
        Command::Follow(term, address) => target.follow(term, address),
        Command::Listen => {
            *listening = Some(target.subscribe());
            backend::command_complete(&mut wire.output, "LISTEN");
            return;
        }
    };
    let column = Column { name: STATUS_CHANNEL.to_owned(), type_: Type::Text };
    backend::row_description(&mut wire.output, &[column], |_| false);
    backend::text_row(&mut wire.output, &json(&status));
    backend::command_complete(&mut wire.output, tag);
}

fn json(status: &MemberStatus) -> String {
    // A status consists of numbers and strings, which can always be encoded as JSON.
    serde_json::to_string(status).unwrap_or_default()
}

fn parse(sql: &str) -> Result<Command, TargetError> {
    let tokens = lexer::tokens(sql);
    let is = |place: usize, word: &str| {
        tokens.get(place).is_some_and(|token: &Token| token.is_word(sql, word))
    };
    if is(0, "show") && tokens[1..].iter().any(|token| token.is_word(sql, "status")) {
        return Ok(Command::Show);
    }
    if is(0, "listen") && is(1, STATUS_CHANNEL) {
        return Ok(Command::Listen);
    }
    if !is(0, "select") {
        return Err(bad(sql));
    }
    let term = argument(sql, &tokens, TokenKind::Number).and_then(|text| text.parse().ok());
    let term = Term(term.ok_or_else(|| bad(sql))?);
    let text = argument(sql, &tokens, TokenKind::Text).ok_or_else(|| bad(sql))?;
    let text = text[1..text.len().max(2) - 1].replace("''", "'");
    if is(1, "group_raise_term") {
        return Ok(Command::RaiseTerm(term, text));
    }
    if is(1, "group_promote") {
        return Ok(Command::Promote(term, text));
    }
    if is(1, "group_follow") {
        let address = text.parse().map_err(|_| bad(sql))?;
        return Ok(Command::Follow(term, address));
    }
    Err(bad(sql))
}

fn argument<'a>(sql: &'a str, tokens: &[Token], kind: TokenKind) -> Option<&'a str> {
    let token = tokens.iter().find(|token| token.kind == kind)?;
    Some(token.text(sql))
}

fn bad(sql: &str) -> TargetError {
    TargetError::BadCommand(format!("not a control command: {sql}"))
}
