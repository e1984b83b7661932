//! The task that keeps one member's control connection: connect, listen, pass reports on, reconnect.
//!
//! The task decides nothing. It hands every report to the control thread at once, because a write
//! waits for the confirmation that a report carries.

use std::collections;
use std::time::Duration;

use rand::RngExt;
use skylark_core::member_status::MemberStatus;
use tokio::sync::mpsc;
use tokio::time;

use crate::process::clock::MonotonicClock;
use crate::process::member::client::MemberClient;
use crate::process::member::client::MemberCommand;
use crate::process::member::client::MemberConnection;
use crate::process::member::client::MemberError;
use crate::process::member::client::MemberMessage;

/// The first wait before connecting again.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// The longest wait before connecting again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Names one member over successive versions, for as long as it keeps its name and address.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct MemberKey(pub u32);

/// What a member's task tells the control thread.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberUpdate {
    /// The member reports its status.
    Report {
        /// The status.
        status: MemberStatus,
        /// When the command was sent whose answer this is, in microseconds of this process's clock;
        /// nothing for a notice, of which only the time of arrival is known.
        sent_us: Option<u64>,
        /// The command whose answer this is.
        command: Option<MemberCommand>,
    },
    /// The member refused a command.
    Refused {
        /// The command.
        command: MemberCommand,
        /// The member's reason.
        reason: String,
    },
    /// The member can't be reached now; commands without an answer may have taken effect.
    Lost(MemberError),
}

/// News of one member.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MemberEvent {
    /// The member.
    pub member: MemberKey,
    /// What happened.
    pub update: MemberUpdate,
}

/// The control thread's end of a member's task. Dropping it ends the task.
#[derive(Debug)]
pub struct MemberHandle {
    commands: mpsc::UnboundedSender<MemberCommand>,
}

impl MemberHandle {
    /// Sends a command. While there is no connection it is dropped: the sender learns from the
    /// reports, not from the command, what has taken effect, and repeats what has not.
    pub fn send(&self, command: MemberCommand) {
        let _ = self.commands.send(command);
    }
}

/// What a member's task needs to run.
#[derive(Debug)]
pub struct MemberTask<C> {
    /// The member.
    pub member: MemberKey,
    /// Its IP address and port.
    pub address: String,
    /// How connections are opened.
    pub client: C,
    /// How long the member may take to accept a connection or to answer a command.
    pub timeout: Duration,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Where news go.
    pub events: mpsc::UnboundedSender<MemberEvent>,
}

#[derive(Debug)]
struct Pending {
    command: MemberCommand,
    sent_us: u64,
    deadline: time::Instant,
}

impl<C> MemberTask<C>
where
    C: MemberClient,
{
    /// Starts the task on the current runtime.
    pub fn start(self) -> MemberHandle {
        let (commands, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.run(receiver));
        MemberHandle { commands }
    }

    async fn run(self, mut commands: mpsc::UnboundedReceiver<MemberCommand>) {
        let mut backoff = INITIAL_BACKOFF;
        while !commands.is_closed() {
            let error = match time::timeout(self.timeout, self.client.connect(&self.address)).await
            {
                Ok(Ok(connection)) => {
                    backoff = INITIAL_BACKOFF;
                    match self.serve(connection, &mut commands).await {
                        Ok(()) => return,
                        Err(error) => error,
                    }
                }
                Ok(Err(error)) => error,
                Err(_) => MemberError::TimedOut,
            };
            self.send_event(MemberUpdate::Lost(error));
            if drop_commands_for(&mut commands, jittered(backoff)).await.is_err() {
                return;
            }
            backoff = MAX_BACKOFF.min(backoff * 2);
        }
    }

    /// Serves one connection until it breaks, or until the control thread lets go of the member.
    async fn serve(
        &self,
        mut connection: C::Connection,
        commands: &mut mpsc::UnboundedReceiver<MemberCommand>,
    ) -> Result<(), MemberError> {
        let mut pending = collections::VecDeque::new();
        self.send(&mut connection, &mut pending, MemberCommand::Listen).await?;
        self.send(&mut connection, &mut pending, MemberCommand::Status).await?;
        loop {
            let deadline = pending.front().map(|first: &Pending| first.deadline);
            tokio::select! {
                biased;
                message = connection.receive() => self.handle_message(message?, &mut pending)?,
                command = commands.recv() => match command {
                    Some(command) => self.send(&mut connection, &mut pending, command).await?,
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => return Err(MemberError::TimedOut),
            }
        }
    }

    async fn send(
        &self,
        connection: &mut C::Connection,
        pending: &mut collections::VecDeque<Pending>,
        command: MemberCommand,
    ) -> Result<(), MemberError> {
        // A probe while another one is unanswered would only lengthen the queue at a slow member.
        let probe_waits = pending.iter().any(|earlier| earlier.command == MemberCommand::Probe);
        if command == MemberCommand::Probe && probe_waits {
            return Ok(());
        }
        let sent_us = self.clock.now_us();
        let deadline = time::Instant::now() + self.timeout;
        connection.send(&command).await?;
        pending.push_back(Pending { command, sent_us, deadline });
        Ok(())
    }

    fn handle_message(
        &self,
        message: MemberMessage,
        pending: &mut collections::VecDeque<Pending>,
    ) -> Result<(), MemberError> {
        if let MemberMessage::Notice(status) = message {
            self.send_event(MemberUpdate::Report { status, sent_us: None, command: None });
            return Ok(());
        }
        let Some(Pending { command, sent_us, .. }) = pending.pop_front() else {
            return Err(MemberError::Protocol("an answer without a command".to_owned()));
        };
        match message {
            MemberMessage::Answer(status) => {
                let (sent_us, command) = (Some(sent_us), Some(command));
                self.send_event(MemberUpdate::Report { status, sent_us, command });
            }
            MemberMessage::CommandFailed(reason) => {
                self.send_event(MemberUpdate::Refused { command, reason });
            }
            MemberMessage::Notice(_) | MemberMessage::Done => {}
        }
        Ok(())
    }

    fn send_event(&self, update: MemberUpdate) {
        let _ = self.events.send(MemberEvent { member: self.member, update });
    }
}

/// Waits, dropping the commands that come meanwhile; an error means that the task is to end.
async fn drop_commands_for(
    commands: &mut mpsc::UnboundedReceiver<MemberCommand>,
    wait: Duration,
) -> Result<(), ()> {
    let end = time::Instant::now() + wait;
    loop {
        tokio::select! {
            command = commands.recv() => if command.is_none() {
                return Err(());
            },
            () = time::sleep_until(end) => return Ok(()),
        }
    }
}

async fn sleep_until(deadline: Option<time::Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Between half of `wait` and all of it: processes that lost a member together would otherwise come
/// back together.
fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
