//! Proxies that run as child processes.

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

/// The time after which a started process has installed its signal handlers, also on a busy machine.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// The program and the settings of a proxy.
#[derive(Clone, Debug)]
pub struct ProxySetup {
    /// The path of the proxy's program.
    pub program: PathBuf,
    /// The folder for the settings file and the log file, which are named after the VM.
    pub folder: PathBuf,
    /// The proxy's settings.
    pub settings: PlatformSettings,
}

/// A proxy process, which can be restarted.
#[derive(Debug)]
pub struct Proxy {
    /// The program and the settings that each start uses.
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

    /// Starts the process again after it has ended. Appends to the log file.
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

    /// Sends a signal to the process. Does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // The process may have ended meanwhile. Its id is not reused before it has been waited for.
            let _ = signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Sends SIGHUP to reload the configuration, unless the process was just started: before it has installed
    /// its signal handler, SIGHUP would terminate it.
    pub fn reload(&self) {
        if self.started.elapsed() >= STARTUP_TIME {
            self.signal(Signal::SIGHUP);
        }
    }

    /// Waits until the process has ended. Call it after a signal that terminates the process.
    pub async fn wait(&mut self) {
        if let Some(child) = &mut self.child {
            // An error means that the process has already been waited for.
            let _ = child.wait().await;
        }
        self.child = None;
    }

    /// Returns the exit status if the process ended without a signal from the soak, and `None` while it runs.
    pub fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())
    }
}
