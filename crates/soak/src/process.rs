//! The proxies as child processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use skylark_platform::settings;
use skylark_platform::settings::PlatformSettings;
use tokio::process::Child;
use tokio::process::Command;

/// After this time a started program runs, on a busy machine too.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// What a proxy is started with.
#[derive(Clone, Debug)]
pub struct ProxySetup {
    /// The program.
    pub program: PathBuf,
    /// The folder for its settings and logs.
    pub folder: PathBuf,
    /// Its settings.
    pub settings: PlatformSettings,
}

/// One proxy.
#[derive(Debug)]
pub struct Proxy {
    /// What it is started with.
    pub setup: ProxySetup,
    child: Option<Child>,
    started: Instant,
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(setup: ProxySetup) -> io::Result<Proxy> {
        let mut proxy = Proxy { setup, child: None, started: Instant::now() };
        proxy.restart()?;
        Ok(proxy)
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) -> io::Result<()> {
        let vm = &self.setup.settings.sessions.vm;
        let file = self.setup.folder.join(format!("{vm}.toml"));
        std::fs::write(&file, settings::encode(&self.setup.settings))?;
        let log = self.setup.folder.join(format!("{vm}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&self.setup.program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    /// Sends it a signal. Nothing happens if it has ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // It may end at this moment; its number is not given out again before it is waited for.
            let _ = signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Asks it to reload, unless it was started a moment ago: until its program runs, nothing of it could
    /// hold the signal back, and the system would end it.
    pub fn reload(&self) {
        if self.started.elapsed() >= STARTUP_TIME {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Waits for its end after a signal that ends it.
    pub async fn wait(&mut self) {
        if let Some(child) = &mut self.child {
            // A process that can't be waited for has been.
            let _ = child.wait().await;
        }
        self.child = None;
    }

    /// How it ended without having been told to; none while it runs.
    pub fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }
}
