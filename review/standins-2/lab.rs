//! Plays a case of the review: `lab CASE RECORD`. Ends with 1 if a rule was broken, 0 if it held, and
//! 2 if the case couldn't run. With `TROUBLE=0` it does the same without the disruption.

mod base;
mod cases;
mod deployment;
mod runner;
mod store;

use std::path::Path;

use crate::base::sleep_ms;
use crate::deployment::Record;

/// The program ends after this long, whatever it waits for.
const LIMIT_MS: u64 = 116_000;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = &words[..] else {
        eprintln!("usage: lab CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::open(Path::new(path));
    let scratch = std::env::temp_dir().join(format!("review-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let (playing, place) = (case.clone(), scratch.clone());
    let lines = record.clone();
    let played = std::thread::spawn(move || cases::play(&playing, trouble, &lines, &place));
    let mut waited = 0;
    while !played.is_finished() && waited < LIMIT_MS {
        sleep_ms(50);
        waited += 50;
    }
    let code = match played.is_finished().then(|| played.join()) {
        Some(Ok(Some(broken))) => {
            record.line(&format!("{} rules were broken", broken.len()));
            broken.iter().for_each(|line| println!("{line}"));
            i32::from(!broken.is_empty())
        }
        _ => {
            record.line("the case could not run");
            deployment::kill_all();
            2
        }
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("kept {}", scratch.display());
    }
    std::process::exit(code);
}
