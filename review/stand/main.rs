//! Scripts of the review: `stand CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run.

mod base;
mod first_event;
mod last_key;
mod other_part;
mod parallel;
mod replaced;
mod restored;
mod settings;
mod sound;
mod stage_order;

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = words.next().unwrap_or_else(|| ".".into());
    // A case that panics could not run.
    let ended = std::panic::catch_unwind(|| run(&case, &folder));
    if ended.is_err() {
        std::process::exit(2);
    }
}

fn run(case: &str, folder: &str) {
    match case {
        "first-event" => first_event::run(folder),
        "last-key" => last_key::run(folder),
        "other-part" => other_part::run(folder),
        "parallel" => parallel::run(folder),
        "replaced" => replaced::run(folder),
        "restored" => restored::run(folder),
        "settings" => settings::run(folder),
        "stage-order" => stage_order::run(folder),
        "sound" => sound::run(folder),
        other => {
            eprintln!("unknown case {other}");
            std::process::exit(2);
        }
    }
}
