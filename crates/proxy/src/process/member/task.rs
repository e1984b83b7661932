//! The task that maintains the control connection to one member: it connects, subscribes to notices,
//! forwards status reports and reconnects.
//!
//! The task makes no decisions. It forwards each report to the control thread immediately, because
//! writes wait for the confirmations that reports carry.

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

/// The delay before the first reconnection attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// The upper limit of the exponential delay between reconnection attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Identifies the control connection of one member. It stays the same over versions of the configuration as
/// long as the member keeps its name and address, and is never reused.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct MemberKey(pub u32);

/// What happened on a member's control connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberUpdate {
    /// The member reported its status.
    Report {
        /// The status.
        status: MemberStatus,
        /// When the command that this answers was sent, in microseconds of this process's clock. `None`
        /// for a notice, for which only the time of arrival is known.
        sent_us: Option<u64>,
        /// The command that this answers; `None` for a notice.
        command: Option<MemberCommand>,
    },
    /// The member refused a command.
    Refused {
        /// The command.
        command: MemberCommand,
        /// The member's error message.
        reason: String,
    },
    /// The connection was lost or could not be opened. Unanswered commands may have taken effect.
    Lost(MemberError),
}

/// An update from the task of one member.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MemberEvent {
    /// The member.
    pub member: MemberKey,
    /// The update.
    pub update: MemberUpdate,
}

/// The control thread's handle to a member's task. Dropping it ends the task.
#[derive(Debug)]
pub struct MemberHandle {
    commands: mpsc::UnboundedSender<MemberCommand>,
}

impl MemberHandle {
    /// Sends a command. Commands sent while there is no connection are dropped: the sender must learn
    /// from status reports which commands have taken effect, and repeat the others.
    pub fn send(&self, command: MemberCommand) {
        let _ = self.commands.send(command);
    }
}

/// A member's task before it is started.
#[derive(Debug)]
pub struct MemberTask<C> {
    /// The member.
    pub member: MemberKey,
    /// The member's IP address and port.
    pub address: String,
    /// Opens connections to the member.
    pub client: C,
    /// The timeout for opening a connection and for the answer to a command.
    pub timeout: Duration,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Receives the member's updates.
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
    /// Spawns the task on the current runtime.
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

    /// Serves one connection. Returns an error when the connection is lost, and `Ok` when the control
    /// thread has dropped the member's handle.
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
        // A second probe before the first is answered would only lengthen the queue of a slow member.
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
            return Err(MemberError::Protocol("answer without a pending command".to_owned()));
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

/// Waits for `wait` while discarding commands. Returns an error if the handle was dropped, so that the
/// task has to end.
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

/// Returns a random duration between half of `wait` and all of it. Without jitter, processes that lost
/// a member at the same time would all reconnect at the same time.
fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
