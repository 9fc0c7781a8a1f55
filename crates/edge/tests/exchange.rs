//! An answer goes to the call that asked or to nobody, and what may have run is not sent again: every short story of a
//! connection, walked through the decisions without sockets, and every place at which a real connection may end.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_edge::exchange_state::{
    judge_answer, AnswerReader, AnswerVerdict, ConnectionHistory, SendCounts,
};
use nickeljunction_http::stream::BodyReader;
use nickeljunction_http::Chunk;
use proptest::prelude::*;
use std::cell::Cell;
use std::collections::{BTreeSet, HashSet};

/// What may come from a server while a call waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Item {
    Good,
    GoodAndClose,
    GoodInChunks,
    Failure,
    Unclear,
    TurnedAway,
    Misdirected,
    NoSeal,
    NoId,
    /// A second or late answer to the latest, or the first, of the earlier calls on the connection.
    Latest,
    First,
    Interim,
    Noise,
    /// The beginning of a good answer; nothing follows it.
    Half,
}

use Item::*;
const ITEMS: [Item; 14] = [
    Good,
    GoodAndClose,
    GoodInChunks,
    Failure,
    Unclear,
    TurnedAway,
    Misdirected,
    NoSeal,
    NoId,
    Latest,
    First,
    Interim,
    Noise,
    Half,
];

/// How much of the request goes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrote {
    Nothing,
    Some,
    All,
}

/// A call and what it meets.
#[derive(Debug, Clone)]
struct Call {
    number: usize,
    to_head: bool,
    repeat: RetrySafety,
    wrote: Wrote,
    items: Vec<Item>,
}

fn id(number: usize) -> String {
    format!("id-{number}")
}

/// A body that would pass for an answer to the next calls, were it read as one.
fn body(number: usize) -> String {
    let forged = |other| {
        format!(
            "HTTP/1.1 200 X\r\nX-Attempt-Id: {}\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\nevil",
            id(other)
        )
    };
    format!("{}{}{}", forged(number + 1), forged(number + 2), number)
}

fn answer(number: usize, status: u16, lines: &str, to_head: bool) -> Vec<u8> {
    let body = body(number);
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {}\r\nContent-Length: {}\r\n{lines}\r\n",
        id(number),
        body.len()
    );
    [head.as_bytes(), if to_head { b"" } else { body.as_bytes() }].concat()
}

const SEAL: &str = "X-Response-Seal: s\r\n";

/// The bytes of an item for a call; `earlier`: which of the earlier calls on the connection were `HEAD`.
fn bytes(item: Item, call: &Call, earlier: &[bool]) -> Vec<u8> {
    let (number, to_head) = (call.number, call.to_head);
    let own = |status, lines: &str| answer(number, status, lines, to_head);
    match item {
        Good => own(200, SEAL),
        GoodAndClose => own(200, "X-Response-Seal: s\r\nConnection: close\r\n"),
        GoodInChunks if to_head => own(200, SEAL),
        GoodInChunks => {
            let body = body(number);
            let (one, two) = body.split_at(10);
            let head = format!(
                "HTTP/1.1 200 X\r\nX-Attempt-Id: {}\r\n{SEAL}Transfer-Encoding: chunked\r\n\r\n",
                id(number)
            );
            format!("{head}a\r\n{one}\r\n{:x};x=y\r\n{two}\r\n0\r\nX-Late: 1\r\n\r\n", two.len()).into_bytes()
        }
        Failure => own(500, SEAL),
        Unclear => own(503, ""),
        TurnedAway => own(503, "X-Not-Executed: 1\r\n"),
        Misdirected => own(421, ""),
        NoSeal => own(200, ""),
        NoId => format!("HTTP/1.1 200 X\r\n{SEAL}Content-Length: 0\r\n\r\n").into_bytes(),
        Latest => answer(earlier.len() - 1, 200, SEAL, earlier[earlier.len() - 1]),
        First => answer(0, 200, SEAL, earlier[0]),
        Interim => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        Noise => b"\x16\x03\x01noise\r\n\r\n".to_vec(),
        Half => {
            let whole = own(200, SEAL);
            whole[..whole.len() / 2].to_vec()
        }
    }
}

/// What a call was told, and what it left behind.
#[derive(Debug, PartialEq)]
struct Told {
    /// Status and body, as its client gets them.
    delivered: Option<(u16, Bytes)>,
    sends: SendCounts,
    /// The connection is kept, with what was left of what had been read.
    kept: Option<Vec<u8>>,
    /// So many of the pieces were read; the others come while the connection is idle or behind the next request.
    read: usize,
}

/// Plays one call as the gateway does, its answers read in these pieces; after the last one the connection ends or the
/// call is given up.
fn play(call: &Call, carried: &mut ConnectionHistory, left: &[u8], pieces: &[Vec<u8>]) -> Told {
    let mut sends = SendCounts::default();
    sends.begin();
    if call.wrote == Wrote::Nothing {
        sends.cancel();
        return Told { delivered: None, sends, kept: None, read: pieces.len() };
    }
    sends.mark_exposed();
    carried.record_request(call.to_head);
    let mut came = AnswerReader::new(&id(call.number), call.to_head, *carried);
    came.buffer.extend_from_slice(left);
    if call.wrote == Wrote::Some {
        came.mark_request_incomplete();
    }
    let read = Cell::new(0);
    let more = |came: &mut AnswerReader| {
        let piece = pieces.get(read.replace(read.get() + 1))?;
        came.buffer.extend_from_slice(piece);
        Some(())
    };
    let head = loop {
        match came.read_head() {
            Ok(Some(head)) => break head,
            Ok(None) if more(&mut came).is_some() => {}
            _ => return Told { delivered: None, sends, kept: None, read: pieces.len() },
        }
    };
    let mut reader = BodyReader::new(head.framing, u64::MAX).expect("no bound");
    let verdict = judge_answer(&head, call.repeat);
    let waits = match verdict {
        AnswerVerdict::NotExecuted { .. } => {
            sends.mark_not_executed();
            false
        }
        AnswerVerdict::Mismatch(_) => return Told { delivered: None, sends, kept: None, read: pieces.len() },
        AnswerVerdict::Deliver(_) | AnswerVerdict::TryElsewhere { .. } => true,
    };
    let mut body = BytesMut::new();
    while !reader.is_complete() {
        match reader.next(&mut came.buffer) {
            Ok(Chunk::Part(part)) => body.extend_from_slice(&part),
            Ok(Chunk::End) => {}
            Ok(Chunk::Incomplete) if waits && more(&mut came).is_some() => {}
            _ => break,
        }
    }
    let whole = reader.is_complete();
    let misdirected = verdict == AnswerVerdict::NotExecuted { misdirected: true };
    let delivered = match verdict {
        AnswerVerdict::Deliver(_) if whole => Some((head.status, body.freeze())),
        _ => None,
    };
    let kept = came.is_reusable(whole && !misdirected).then(|| came.buffer.to_vec());
    Told { delivered, sends, kept, read: read.get() }
}

/// What the rule wants of a call that was told this.
fn check(call: &Call, told: &Told, read: &[Item], earlier: &[bool]) {
    let story = || format!("{call:?} after {earlier:?}: {told:?}");
    if let Some((status, got)) = &told.delivered {
        let own = call.items.iter().any(|item| match item {
            Good | GoodAndClose | GoodInChunks => *status == 200,
            Failure => *status == 500 && call.repeat == RetrySafety::AtMostOnce,
            _ => false,
        });
        let wanted = if call.to_head { String::new() } else { body(call.number) };
        assert!(own && got[..] == *wanted.as_bytes(), "another call's answer: {}", story());
    }
    // One late answer may come first, two are no accident.
    let late =
        read.iter().filter(|item| **item != Interim).take(2).all(|item| matches!(item, Latest | First));
    assert!(!(late && read.len() > 2 && told.delivered.is_some()), "two late answers: {}", story());
    // A server that vouches is right; any other that had a byte may have run it.
    let vouched = call.items.iter().any(|item| matches!(item, TurnedAway | Misdirected));
    let may_have_run = call.wrote != Wrote::Nothing && !vouched;
    if may_have_run {
        assert!(told.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_err(), "sent twice: {}", story());
        assert!(!told.sends.may_refuse(RetrySafety::AtMostOnce), "refused what may have run: {}", story());
    }
    if call.wrote == Wrote::Nothing {
        assert!(
            told.sends.check_allowed(RetrySafety::AtMostOnce, 1).is_ok() && told.sends.begun() == 0,
            "{}",
            story()
        );
    }
    assert!(
        told.sends.check_allowed(call.repeat, told.sends.begun()).is_err(),
        "beyond the route's most: {}",
        story()
    );
    // Only one whose answer was read to its end, with nothing after it, carries another call.
    if let Some(left) = &told.kept {
        let plain =
            read.iter().all(|item| !matches!(item, Latest | First | NoId | Noise | Half | GoodAndClose));
        assert!(left.is_empty() && call.wrote == Wrote::All && plain, "kept: {}", story());
    }
}

/// All sequences of up to `most` items; those of earlier calls only where there are some, and none behind a half.
fn stories(most: usize, earlier: usize) -> Vec<Vec<Item>> {
    let (mut all, mut last) = (vec![vec![]], vec![vec![]]);
    for _ in 0..most {
        let mut next = Vec::new();
        for story in last.iter().filter(|story: &&Vec<Item>| story.last() != Some(&Half)) {
            for item in ITEMS {
                let there = match item {
                    Latest => earlier > 0,
                    First => earlier > 1,
                    _ => true,
                };
                if there {
                    next.push([&story[..], &[item]].concat());
                }
            }
        }
        all.extend(next.iter().cloned());
        last = next;
    }
    all
}

#[test]
fn every_short_story_of_a_connection_keeps_to_the_rule() {
    let mut open = vec![(Vec::<bool>::new(), ConnectionHistory::default())];
    let (mut seen, mut calls, mut states) = (HashSet::from([Vec::<bool>::new()]), 0_u64, 0_usize);
    while let Some((earlier, carried)) = open.pop() {
        states += 1;
        let most = if earlier.len() < 2 { 3 } else { 2 };
        for items in stories(most, earlier.len()) {
            for (to_head, repeat, wrote) in ways() {
                let call = Call { number: earlier.len(), to_head, repeat, wrote, items: items.clone() };
                let apart: Vec<Vec<u8>> = items.iter().map(|item| bytes(*item, &call, &earlier)).collect();
                for pieces in [&apart[..], &[apart.concat()]] {
                    let mut carried = carried;
                    let told = play(&call, &mut carried, &[], pieces);
                    let read = if pieces.len() == items.len() { told.read } else { items.len() };
                    check(&call, &told, &items[..read.min(items.len())], &earlier);
                    calls += 1;
                    let next = [&earlier[..], &[to_head]].concat();
                    if told.kept.is_some() && next.len() < 4 && seen.insert(next.clone()) {
                        open.push((next, carried));
                    }
                }
            }
        }
    }
    println!("{calls} calls on {states} states of a connection");
    assert!(states == 15 && calls > 100_000, "{calls} calls on {states} states");
}

fn ways() -> impl Iterator<Item = (bool, RetrySafety, Wrote)> {
    let wrote = [Wrote::Nothing, Wrote::Some, Wrote::All];
    let ways = [false, true].into_iter().flat_map(|to_head| {
        [RetrySafety::AtMostOnce, RetrySafety::Idempotent].into_iter().map(move |repeat| (to_head, repeat))
    });
    ways.flat_map(move |(to_head, repeat)| wrote.into_iter().map(move |wrote| (to_head, repeat, wrote)))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// What a call is told doesn't depend on how its answer is cut into reads, and an end at any byte tells no lie.
    #[test]
    fn answers_mean_the_same_however_they_are_cut_and_wherever_they_end(
        picks in proptest::collection::vec(0..ITEMS.len(), 1..4),
        earlier in proptest::collection::vec(any::<bool>(), 2..4),
        to_head in any::<bool>(),
        once in any::<bool>(),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
        end in any::<prop::sample::Index>(),
    ) {
        let items: Vec<Item> = picks.iter().map(|pick| ITEMS[*pick]).collect();
        let half = items.iter().position(|item| *item == Half).map_or(items.len(), |at| at + 1);
        let repeat = if once { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        let call = Call { number: earlier.len(), to_head, repeat, wrote: Wrote::All, items: items[..half].to_vec() };
        let mut carried = ConnectionHistory::default();
        earlier.iter().for_each(|head| carried.record_request(*head));
        let apart: Vec<Vec<u8>> = call.items.iter().map(|item| bytes(*item, &call, &earlier)).collect();
        let all = apart.concat();
        let places: BTreeSet<usize> = cuts.iter().map(|cut| cut.index(all.len() + 1)).chain([0, all.len()]).collect();
        let places: Vec<usize> = places.into_iter().collect();
        let cut: Vec<Vec<u8>> = places.windows(2).map(|pair| all[pair[0]..pair[1]].to_vec()).collect();
        let by_item = play(&call, &mut carried.clone(), &[], &apart);
        let by_cut = play(&call, &mut carried.clone(), &[], &cut);
        check(&call, &by_item, &call.items[..by_item.read.min(call.items.len())], &earlier);
        prop_assert_eq!((&by_cut.delivered, by_cut.sends), (&by_item.delivered, by_item.sends));
        // Ended before its last byte.
        let ended = play(&call, &mut carried.clone(), &[], &[all[..end.index(all.len().max(1))].to_vec()]);
        if let Some(delivered) = &ended.delivered {
            prop_assert_eq!(Some(delivered), by_item.delivered.as_ref());
        }
        prop_assert!(ended.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_err() || by_item.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_ok());
    }
}

/// How far one send of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Send {
    Begun,
    Exposed,
    Unsent,
    Vouched,
    /// Ended for another send before anything of it had gone out.
    Cut,
}

/// What a step of a send does to the ledger.
type Change = fn(&mut SendCounts);

/// All orders of up to so many steps of the sends of one request: begin another where that is allowed, or move one on.
fn sends_walk(
    ledger: SendCounts,
    sends: &[Send],
    repeat: RetrySafety,
    most: u32,
    steps: usize,
    walked: &mut u64,
) {
    *walked += 1;
    let count = |state| sends.iter().filter(|send| **send == state).count() as u32;
    assert_eq!(ledger.begun(), sends.len() as u32 - count(Send::Unsent), "{sends:?}");
    assert!(ledger.begun() <= most, "more servers than the route allows: {sends:?}");
    if repeat == RetrySafety::AtMostOnce {
        assert_eq!(ledger.may_refuse(repeat), count(Send::Exposed) == 0, "{sends:?}");
    }
    if steps == 0 {
        return;
    }
    // The gateway cuts off a send that has not gone out before it begins another one that must not run twice.
    if ledger.check_allowed(repeat, most).is_ok() {
        assert!(repeat != RetrySafety::AtMostOnce || count(Send::Exposed) == 0, "twice: {sends:?}");
        let (mut ledger, mut sends) = (ledger, sends.to_vec());
        ledger.begin();
        let begun =
            sends.iter_mut().filter(|send| repeat == RetrySafety::AtMostOnce && **send == Send::Begun);
        begun.for_each(|send| *send = Send::Cut);
        sends.push(Send::Begun);
        sends_walk(ledger, &sends, repeat, most, steps - 1, walked);
    }
    for (at, send) in sends.iter().enumerate() {
        let moves: &[(Send, Change)] = match send {
            Send::Begun => &[(Send::Exposed, SendCounts::mark_exposed), (Send::Unsent, SendCounts::cancel)],
            Send::Exposed => &[(Send::Vouched, SendCounts::mark_not_executed)],
            Send::Unsent | Send::Vouched | Send::Cut => &[],
        };
        for (to, change) in moves {
            let (mut ledger, mut sends) = (ledger, sends.to_vec());
            change(&mut ledger);
            sends[at] = *to;
            sends_walk(ledger, &sends, repeat, most, steps - 1, walked);
        }
    }
}

#[test]
fn no_order_of_sends_passes_the_routes_most_or_runs_twice_what_must_not() {
    let mut walked = 0;
    for repeat in [RetrySafety::AtMostOnce, RetrySafety::Idempotent] {
        for most in 1..=3 {
            sends_walk(SendCounts::default(), &[], repeat, most, 8, &mut walked);
        }
    }
    println!("{walked} states of sends");
    assert!(walked > 5_000, "{walked}");
}
