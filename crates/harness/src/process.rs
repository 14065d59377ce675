//! A router or gateway process, which a test can pause, resume, stop and kill.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A router or gateway process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program command settings` and appends its output to the file `log`.
    ///
    /// # Errors
    /// Fails if the program can't be started.
    pub fn start(program: &Path, command: &str, settings: &Path, log: &Path) -> io::Result<Process> {
        let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "info,tarpc=warn".to_owned());
        Process::spawn(Command::new(program).arg(command).arg(settings).env("RUST_LOG", level), log)
    }

    /// Starts a command and appends its output to the file `log`.
    ///
    /// # Errors
    /// Fails if the command can't be started.
    pub fn spawn(command: &mut Command, log: &Path) -> io::Result<Process> {
        let output = File::options().create(true).append(true).open(log)?;
        let child = command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).spawn()?;
        Ok(Process { child, log: log.to_owned() })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The content of the log file so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop, with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// Fails if the operating system can't wait for the process.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
