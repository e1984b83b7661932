//! Processor time of a process's threads, by name.

use std::fs;
use std::path::Path;

/// The processor time of all threads with this name in nanoseconds; zero where the system doesn't
/// tell.
pub fn cpu_ns(name: &str) -> u64 {
    cpu_ns_of("self", name)
}

/// The same for a process by its number.
pub fn cpu_ns_of(process: &str, name: &str) -> u64 {
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else { return 0 };
    let named = tasks.flatten().filter(|task| has_name(&task.path(), name));
    named.map(|task| time_of(&task.path())).sum()
}

fn has_name(task: &Path, name: &str) -> bool {
    fs::read_to_string(task.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
}

fn time_of(task: &Path) -> u64 {
    let text = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}
