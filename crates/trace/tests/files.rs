//! Trace files: what was written is read again, whatever was cut off, flipped or made up; and replays.

mod worlds;

use nickeljunction_trace::event::{Context, Event};
use nickeljunction_trace::file::{Header, Reader, Writer};
use nickeljunction_trace::number::{Put, Take};
use nickeljunction_trace::replay::Replay;
use nickeljunction_trace::TraceError;
use proptest::prelude::*;
use std::io::Cursor;

fn header() -> Header {
    Header {
        gateway: "n0".into(),
        begun_ms: 1_796_000_000_000.0,
        about: vec![("why".into(), "a test".into())],
    }
}

fn written(events: &[(i64, Event)]) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), &header()).expect("begun");
    events.iter().for_each(|(time, event)| writer.add(*time, event).expect("written"));
    writer.end().expect("ended")
}

type Events = Vec<(i64, Event)>;
type Opened = Reader<Cursor<Vec<u8>>>;

fn read(bytes: &[u8]) -> Result<(Events, Opened), TraceError> {
    let mut reader = Reader::open(Cursor::new(bytes.to_vec()))?;
    let mut events = Vec::new();
    for block in 0..reader.blocks().len() {
        events.extend(reader.events(block)?);
    }
    Ok((events, reader))
}

#[test]
fn what_was_written_is_read_again_by_index_and_by_scanning() {
    let events = worlds::record(1, 3_000, Vec::new());
    let bytes = written(&events);
    let (again, mut reader) = read(&bytes).expect("good");
    assert!(again == events && reader.indexed() && reader.blocks().len() > 3);
    assert_eq!(reader.header(), &header());
    reader.franchisees().expect("good");
    reader.ids().expect("good");
    let indexed = reader.blocks().to_vec();
    // The same summaries are made anew by scanning a file without its end.
    let (again, scanned) = read(&bytes[..bytes.len() - 1]).expect("good");
    assert!(again == events && !scanned.indexed());
    assert_eq!(scanned.blocks(), indexed);
    // The index never misses what a block holds.
    for (at, block) in indexed.iter().enumerate() {
        for (_, event) in reader.events(at).expect("good") {
            if let Some(franchisee) = event.franchisee() {
                assert!(block.franchisees.binary_search(&franchisee).is_ok());
            }
            if let Event::Taken { id, key, .. } = &event {
                assert!(block.may_hold(id) && (key.is_empty() || block.may_hold(key)));
            }
        }
    }
    let holds = |id: &str| indexed.iter().filter(|block| block.may_hold(id)).count();
    let wrong: usize = (0..200).map(|at| holds(&format!("none-{at}"))).sum();
    assert!(wrong < 200 * indexed.len() / 20, "{wrong} blocks of {} may hold what none does", indexed.len());
}

/// Cut off at every byte of its last two blocks and its index, a trace loses at most the last block.
#[test]
fn a_trace_cut_off_anywhere_loses_at_most_its_last_block() {
    let events = worlds::record(2, 60, Vec::new());
    let mut writer = Writer::new(Vec::new(), &header()).expect("begun");
    for (at, (time, event)) in events.iter().enumerate() {
        writer.add(*time, event).expect("written");
        if at % 60 == 59 {
            writer.close_block().expect("written");
        }
    }
    let bytes = writer.end().expect("ended");
    let (_, reader) = read(&bytes).expect("good");
    let blocks = reader.blocks().to_vec();
    let from = blocks[blocks.len() - 2].offset as usize;
    for cut in from..bytes.len() {
        let mut reader = Reader::open(Cursor::new(&bytes[..cut])).expect("opened");
        let whole =
            blocks.iter().filter(|block| (block.offset + u64::from(block.length)) as usize <= cut).count();
        assert_eq!(reader.blocks().len(), whole, "cut at {cut}");
        if cut % 97 == 0 {
            let mut count = 0;
            for block in 0..whole {
                count += reader.events(block).expect("whole").len();
            }
            let wanted: u32 = blocks[..whole].iter().map(|block| block.events).sum();
            assert_eq!(count, wanted as usize);
        }
    }
}

/// Flipped bits: no panic, no wrong event; what can be read of other blocks is read.
#[test]
fn flipped_bits_cost_their_own_block() {
    let events = worlds::record(3, 1_500, Vec::new());
    let bytes = written(&events);
    let (_, reader) = read(&bytes).expect("good");
    let blocks = reader.blocks().to_vec();
    let mut dice = fastrand::Rng::with_seed(9);
    for _ in 0..400 {
        let mut flipped = bytes.clone();
        let at = dice.usize(..flipped.len());
        flipped[at] ^= 1 << dice.u32(0..8);
        let Ok(mut reader) = Reader::open(Cursor::new(flipped)) else {
            assert!(at < blocks[0].offset as usize, "only a damaged header refuses the file: byte {at}");
            continue;
        };
        let mut good = 0;
        for block in 0..reader.blocks().len() {
            if let Ok(read) = reader.events(block) {
                let from: usize = blocks
                    .iter()
                    .take_while(|one| one.offset < reader.blocks()[block].offset)
                    .map(|one| one.events as usize)
                    .sum();
                assert_eq!(read[..], events[from..from + read.len()], "byte {at}");
                good += 1;
            }
        }
        assert!(good + 1 >= blocks.len(), "{good} of {} blocks after byte {at}", blocks.len());
    }
}

#[test]
fn a_trace_of_the_version_before_is_read_as_it_is() {
    let events = worlds::record(4, 300, Vec::new());
    let mut old = written(&events);
    old[8] = 1;
    let body = 14 + u32::from_le_bytes([old[10], old[11], old[12], old[13]]) as usize;
    let sum = crc32c::crc32c(&old[..body]).to_le_bytes();
    old[body..body + 4].copy_from_slice(&sum);
    assert_eq!(read(&old).expect("an older version").0.len(), events.len());
}

#[test]
fn hostile_files_are_refused_within_their_own_length() {
    let good = written(&worlds::record(4, 300, Vec::new()));
    // A later version is told by its number.
    let mut later = good.clone();
    later[8] = 3;
    let why = read(&later).expect_err("refused").to_string();
    assert!(why.contains("version 3; this program reads up to 2"), "{why}");
    assert!(read(b"PK\x03\x04 not a trace at all").expect_err("refused").to_string().contains("no trace"));
    assert!(read(&[]).is_err());
    // Lengths that can't be: of a header, of a block, of what it unpacks to, of an index.
    for (at, width) in [(10usize, 4usize), (good.len() - 72, 8), (good.len() - 64, 4), (good.len() - 24, 4)] {
        let mut huge = good.clone();
        huge[at..at + width].fill(0xff);
        if let Ok((events, _)) = read(&huge) {
            assert!(!events.is_empty(), "read by scanning");
        }
    }
    let offset = Reader::open(Cursor::new(&good)).expect("good").blocks()[0].offset as usize;
    for at in [4, 8, 12] {
        let mut huge = good.clone();
        huge[offset + at..offset + at + 4].fill(0xff);
        // Found by index or by scanning, the block itself is refused, and nothing is taken for it.
        if let Ok(mut reader) = Reader::open(Cursor::new(huge)) {
            for block in 0..reader.blocks().len() {
                if reader.blocks()[block].offset as usize == offset {
                    assert!(reader.events(block).is_err());
                }
            }
        }
    }
}

/// Fed to a module of the same settings and seed, what was recorded brings the same verdicts; one that was changed
/// on purpose is found.
#[test]
fn a_replay_brings_every_verdict_again_and_finds_the_one_that_differs() {
    let settings = |_: &[(String, String)]| Ok(worlds::settings());
    for seed in 1..6 {
        let events = worlds::record(seed, 2_000, Vec::new());
        let (events, _) = read(&written(&events)).expect("good");
        let mut replay = Replay::default();
        for (time, event) in &events {
            replay.feed(*time, event, &settings).unwrap_or_else(|why| panic!("seed {seed}: {why:?}"));
        }
        assert!(replay.verdicts > 2_000);
        replay.end().expect("nothing was due");
        // Another seed of the module, and a verdict that somebody changed.
        let mut other = Replay::default();
        let differs = events.iter().find_map(|(time, event)| {
            let event = match event {
                Event::Boot { name, seed, strict, settings } => Event::Boot {
                    name: name.clone(),
                    seed: seed + 1,
                    strict: *strict,
                    settings: settings.clone(),
                },
                event => event.clone(),
            };
            other.feed(*time, &event, &settings).err()
        });
        assert!(differs.is_some(), "another seed decides otherwise");
        // Which requests are routed is the module's to decide: any one in the middle will do.
        let at =
            events.iter().position(|(_, event)| matches!(event, Event::Route(task) if task.request >= 700));
        let at = at.expect("one was routed");
        let mut changed = Replay::default();
        let difference = events.iter().enumerate().find_map(|(number, (time, event))| {
            let event = match event {
                Event::Route(task) if number == at => {
                    let mut task = task.clone();
                    task.limit_ms += 1.0;
                    Event::Route(task)
                }
                event => event.clone(),
            };
            changed.feed(*time, &event, &settings).err()
        });
        let difference = difference.expect("found");
        assert_eq!(difference.event, at as u64);
        assert!(matches!(difference.decided, Some(Event::Route(_))), "{difference:?}");
    }
}

proptest! {
    #[test]
    fn numbers_come_back_to_the_bit(whole: u64, signed: i64, bits: u64, ms in 0f64..1e13) {
        let mut bytes = Vec::new();
        let reals = [f64::from_bits(bits), ms, (ms * 1024.0).floor() / 1024.0, 0.0, -0.0, 0.1, -2.5];
        bytes.whole(whole);
        bytes.signed(signed);
        reals.iter().for_each(|real| bytes.real(*real));
        let mut take = Take(&bytes);
        prop_assert_eq!((take.whole(), take.signed()), (Some(whole), Some(signed)));
        for real in reals {
            prop_assert_eq!(take.real().map(f64::to_bits), Some(real.to_bits()));
        }
        prop_assert!(take.done());
    }

    /// Any bytes: no panic, no more memory than they have a right to.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (mut context, mut take) = (Context::default(), Take(&bytes));
        while let Some((_, event)) = context.take(&mut take) {
            let _ = event.request();
        }
        let mut file = written(&[]);
        let at = bytes.len() % file.len().max(1);
        file.splice(at..at, bytes.iter().copied());
        let _ = read(&file);
    }
}
