//! The stand-ins and drivers of the cases of the second review.

#![allow(dead_code)]

mod crash;
mod fleet;
mod server;
mod store;
mod storm;
mod wire;

use std::process::exit;
use std::time::Duration;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let word = |index: usize| words.get(index).map(String::as_str).unwrap_or("");
    let held = match word(0) {
        "server" => {
            let number = |index: usize| word(index).parse().unwrap_or(0);
            let settings = server::Settings {
                id: word(1).to_owned(),
                address: word(2).parse().expect("an address"),
                runs: word(3).to_owned(),
                events: number(4),
                pause: Duration::from_millis(number(5)),
                unframed: number(6),
                first: Duration::from_millis(number(7)),
            };
            let _ = server::run(settings);
            exit(0);
        }
        "crash" => crash::run(word(1)),
        "storm" => storm::run(word(1)),
        _ => None,
    };
    exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
