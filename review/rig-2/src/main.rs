//! Plays one case of the second review: `rig-2 CASE RECORD RUN`, RUN being the command of the deploy file that
//! starts a router. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod check;
mod client;
mod doubled;
mod engine;
mod flood;
mod record;
mod router;
mod slow_client;
mod taken_back;

use std::env;
use std::panic::catch_unwind;
use std::process::exit;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// A case that is not over by then could not run.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case is given.
pub struct Setup {
    pub record: Record,
    /// The command that starts a router.
    pub run: String,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, path, run] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE RECORD RUN");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { record: Record::create(path), run: run.clone(), trouble };
    setup.record.line(&format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let record = setup.record.clone();
    let case = case.clone();
    let play = thread::spawn(move || {
        catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
            "slow-client" => slow_client::play(&setup),
            "doubled" => doubled::play(&setup),
            "taken-back" => taken_back::play(&setup),
            "flood" => flood::play(&setup),
            other => panic!("unknown case {other}"),
        }))
    });
    let mut left = LONGEST;
    while !play.is_finished() && left > Duration::ZERO {
        let step = Duration::from_millis(50);
        thread::sleep(step);
        left = left.saturating_sub(step);
    }
    if !play.is_finished() {
        record.line("the case is not over in time");
        router::end_all();
        exit(2);
    }
    let code = match play.join() {
        Ok(Ok(broken)) if broken.is_empty() => 0,
        Ok(Ok(broken)) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
                println!("broken: {line}");
            }
            1
        }
        _ => 2,
    };
    let verdict = ["the rule held", "the rule was broken", "the case couldn't run"][code as usize];
    record.line(verdict);
    println!("{verdict}");
    exit(code);
}
