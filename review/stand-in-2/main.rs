//! The scripts of the second review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With TROUBLE=0 in the environment it does the same without the disruption.

mod cases;
mod net;
mod record;
mod rig;
mod servers;
mod store;

use std::path::Path;
use std::process::exit;

use record::Record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|word| word == "server-process") {
        return match words.get(2).map(String::as_str) {
            Some("cut") => cases::cut::serve_process(&words[3..]),
            _ => cases::outage::serve_process(&words[3..]),
        };
    }
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        rig::give_up("usage: review-2 CASE FOLDER");
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let record = record.unwrap_or_else(|error| rig::give_up(&error.to_string()));
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let broken = match case.as_str() {
        "wall" => cases::wall::run(&record, trouble),
        "promise" => cases::promise::run(&record, trouble),
        "cut" => cases::cut::run(&record, trouble),
        "outage" => cases::outage::run(&record, trouble),
        "replaced" => cases::replaced::run(&record, trouble),
        _ => rig::give_up("there is no such case"),
    };
    record.line(&format!("breaks: {}", broken.len()));
    for broken in &broken {
        record.line(&format!("broken: {broken}"));
        println!("broken: {broken}");
    }
    println!("{}", if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    exit(i32::from(!broken.is_empty()));
}
