//! Stand-ins of the platform's store, of servers and of clients, and the cases that use them.
//!
//! Usage: `harness CASE DAEMON_PROGRAM FOLDER`. The environment variable `TROUBLE=0` leaves the
//! disruption out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod daemon;
mod http;
mod record;
mod server;
mod store;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, program, folder] = words.as_slice() else {
        eprintln!("usage: harness CASE DAEMON_PROGRAM FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A case that hangs ends within the time that is allowed for it.
    std::thread::spawn(|| {
        let by_hand: u64 = std::env::var("HISTORY_S").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
        std::thread::sleep(std::time::Duration::from_secs(115 + by_hand));
        daemon::kill_all();
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(|| cases::run(case, program, folder, trouble));
    daemon::kill_all();
    std::process::exit(result.unwrap_or(2));
}
