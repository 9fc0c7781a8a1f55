//! Length and speed of traces: `cargo bench -p nickeljunction-trace --bench speed`; an argument sets how many requests.

#[path = "../tests/worlds/mod.rs"]
mod worlds;

use nickeljunction_trace::event::Event;
use nickeljunction_trace::file::{Header, Reader, Writer};
use nickeljunction_trace::replay::Replay;
use std::io::Cursor;
use std::time::Instant;

fn main() {
    let requests: u64 = std::env::args().filter_map(|word| word.parse().ok()).next().unwrap_or(200_000);
    let events = worlds::record(1, requests, Vec::new());
    let began = Instant::now();
    let mut writer = Writer::new(Vec::new(), &Header::default()).expect("begun");
    events.iter().for_each(|(time, event)| writer.add(*time, event).expect("written"));
    let bytes = writer.end().expect("ended");
    let wrote = began.elapsed().as_secs_f64();
    let began = Instant::now();
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opened");
    let mut read = 0usize;
    for block in 0..reader.blocks().len() {
        read += reader.events(block).expect("whole").len();
    }
    let scanned = began.elapsed().as_secs_f64();
    assert_eq!(read, events.len());
    // A cut of one franchisee: the index, and the blocks that it names.
    let mut reader = Reader::open(Cursor::new(&bytes)).expect("opened");
    reader.franchisees().expect("good");
    let index = reader.bytes_read();
    let began = Instant::now();
    let settings = |_: &[(String, String)]| Ok(worlds::settings());
    let mut replay = Replay::default();
    events.iter().for_each(|(time, event)| replay.feed(*time, event, &settings).expect("the same"));
    let replayed = began.elapsed().as_secs_f64();
    let ticks = events.iter().filter(|(_, event)| matches!(event, Event::Tick)).count();
    let millions = events.len() as f64 / 1e6;
    println!(
        "{requests} requests, {} events ({ticks} of them ticks), {} blocks",
        events.len(),
        reader.blocks().len()
    );
    println!(
        "{:.1} bytes a request, {:.2} an event",
        bytes.len() as f64 / requests as f64,
        bytes.len() as f64 / events.len() as f64
    );
    println!(
        "written {:.2} M events/s, read {:.2} M events/s, replayed {:.2} M events/s",
        millions / wrote,
        millions / scanned,
        millions / replayed
    );
    println!("index of times and franchisees: {:.2}% of the file", index as f64 / bytes.len() as f64 * 100.0);
}
