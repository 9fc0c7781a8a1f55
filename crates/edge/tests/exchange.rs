//! Tests that an answer is delivered only to the request that it belongs to, and that a request which a server may have
//! executed is not sent again unless its route allows retries. The decisions on a connection are run without sockets:
//! exhaustively for short sequences of server output, and at random for the positions where reads are cut and where the
//! connection ends.

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

/// One piece of server output that can arrive while a call waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerOutput {
    Success,
    SuccessAndClose,
    SuccessChunked,
    SealedFailure,
    UnsealedFailure,
    NotExecuted,
    Misdirected,
    MissingSeal,
    MissingId,
    /// A duplicate or late answer to the most recent earlier call on the connection.
    AnswerToLatest,
    /// A duplicate or late answer to the first call on the connection.
    AnswerToFirst,
    Interim,
    InvalidBytes,
    /// The first half of a successful answer, with nothing after it.
    Truncated,
}

use ServerOutput::*;
const OUTPUTS: [ServerOutput; 14] = [
    Success,
    SuccessAndClose,
    SuccessChunked,
    SealedFailure,
    UnsealedFailure,
    NotExecuted,
    Misdirected,
    MissingSeal,
    MissingId,
    AnswerToLatest,
    AnswerToFirst,
    Interim,
    InvalidBytes,
    Truncated,
];

/// How much of the request the gateway writes to the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    Nothing,
    Partial,
    Complete,
}

/// A request and the server output that follows it.
#[derive(Debug, Clone)]
struct Call {
    number: usize,
    is_head: bool,
    retry_safety: RetrySafety,
    written: Written,
    outputs: Vec<ServerOutput>,
}

fn attempt_id(number: usize) -> String {
    format!("id-{number}")
}

/// A body that contains forged answers to the next two calls. They would be delivered if body bytes were parsed as an
/// answer.
fn forging_body(number: usize) -> String {
    let forged = |other| {
        format!(
            "HTTP/1.1 200 X\r\nX-Attempt-Id: {}\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\nevil",
            attempt_id(other)
        )
    };
    format!("{}{}{}", forged(number + 1), forged(number + 2), number)
}

fn encode_answer(number: usize, status: u16, lines: &str, is_head: bool) -> Vec<u8> {
    let body = forging_body(number);
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {}\r\nContent-Length: {}\r\n{lines}\r\n",
        attempt_id(number),
        body.len()
    );
    [head.as_bytes(), if is_head { b"" } else { body.as_bytes() }].concat()
}

const SEAL: &str = "X-Response-Seal: s\r\n";

/// Encodes a piece of server output for a call. `earlier_heads` says for each earlier call on the connection whether it
/// was a `HEAD` request.
fn encode(output: ServerOutput, call: &Call, earlier_heads: &[bool]) -> Vec<u8> {
    let (number, is_head) = (call.number, call.is_head);
    let own_answer = |status, lines: &str| encode_answer(number, status, lines, is_head);
    match output {
        Success => own_answer(200, SEAL),
        SuccessAndClose => own_answer(200, "X-Response-Seal: s\r\nConnection: close\r\n"),
        SuccessChunked if is_head => own_answer(200, SEAL),
        SuccessChunked => {
            let body = forging_body(number);
            let (first_chunk, second_chunk) = body.split_at(10);
            let head = format!(
                "HTTP/1.1 200 X\r\nX-Attempt-Id: {}\r\n{SEAL}Transfer-Encoding: chunked\r\n\r\n",
                attempt_id(number)
            );
            format!(
                "{head}a\r\n{first_chunk}\r\n{:x};x=y\r\n{second_chunk}\r\n0\r\nX-Late: 1\r\n\r\n",
                second_chunk.len()
            )
            .into_bytes()
        }
        SealedFailure => own_answer(500, SEAL),
        UnsealedFailure => own_answer(503, ""),
        NotExecuted => own_answer(503, "X-Not-Executed: 1\r\n"),
        Misdirected => own_answer(421, ""),
        MissingSeal => own_answer(200, ""),
        MissingId => format!("HTTP/1.1 200 X\r\n{SEAL}Content-Length: 0\r\n\r\n").into_bytes(),
        AnswerToLatest => {
            encode_answer(earlier_heads.len() - 1, 200, SEAL, earlier_heads[earlier_heads.len() - 1])
        }
        AnswerToFirst => encode_answer(0, 200, SEAL, earlier_heads[0]),
        Interim => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        InvalidBytes => b"\x16\x03\x01noise\r\n\r\n".to_vec(),
        Truncated => {
            let complete = own_answer(200, SEAL);
            complete[..complete.len() / 2].to_vec()
        }
    }
}

/// The result of a call and the state of its connection afterwards.
#[derive(Debug, PartialEq)]
struct CallOutcome {
    /// Status and body that the client receives.
    delivered: Option<(u16, Bytes)>,
    sends: SendCounts,
    /// The unconsumed bytes of a connection that may be reused; `None` if it is closed.
    reusable: Option<Vec<u8>>,
    /// Number of pieces read. The others arrive while the connection is idle or after the next request.
    pieces_read: usize,
}

/// Runs one call as the gateway does, with one read per piece. After the last piece the connection ends or the call is
/// cancelled.
fn run_call(
    call: &Call,
    history: &mut ConnectionHistory,
    leftover: &[u8],
    pieces: &[Vec<u8>],
) -> CallOutcome {
    let mut sends = SendCounts::default();
    sends.begin();
    if call.written == Written::Nothing {
        sends.cancel();
        return CallOutcome { delivered: None, sends, reusable: None, pieces_read: pieces.len() };
    }
    sends.mark_exposed();
    history.record_request(call.is_head);
    let mut answer_reader = AnswerReader::new(&attempt_id(call.number), call.is_head, *history);
    answer_reader.buffer.extend_from_slice(leftover);
    if call.written == Written::Partial {
        answer_reader.mark_request_incomplete();
    }
    let pieces_read = Cell::new(0);
    let read_next = |answer_reader: &mut AnswerReader| {
        let piece = pieces.get(pieces_read.replace(pieces_read.get() + 1))?;
        answer_reader.buffer.extend_from_slice(piece);
        Some(())
    };
    let head = loop {
        match answer_reader.read_head() {
            Ok(Some(head)) => break head,
            Ok(None) if read_next(&mut answer_reader).is_some() => {}
            _ => return CallOutcome { delivered: None, sends, reusable: None, pieces_read: pieces.len() },
        }
    };
    let mut body_reader = BodyReader::new(head.framing, u64::MAX).expect("no bound");
    let verdict = judge_answer(&head, call.retry_safety);
    let may_wait = match verdict {
        AnswerVerdict::NotExecuted { .. } => {
            sends.mark_not_executed();
            false
        }
        AnswerVerdict::Mismatch(_) => {
            return CallOutcome { delivered: None, sends, reusable: None, pieces_read: pieces.len() }
        }
        AnswerVerdict::Deliver(_) | AnswerVerdict::TryElsewhere { .. } => true,
    };
    let mut body = BytesMut::new();
    while !body_reader.is_complete() {
        match body_reader.next(&mut answer_reader.buffer) {
            Ok(Chunk::Part(part)) => body.extend_from_slice(&part),
            Ok(Chunk::End) => {}
            Ok(Chunk::Incomplete) if may_wait && read_next(&mut answer_reader).is_some() => {}
            _ => break,
        }
    }
    let complete = body_reader.is_complete();
    let misdirected = verdict == AnswerVerdict::NotExecuted { misdirected: true };
    let delivered = match verdict {
        AnswerVerdict::Deliver(_) if complete => Some((head.status, body.freeze())),
        _ => None,
    };
    let reusable = answer_reader.is_reusable(complete && !misdirected).then(|| answer_reader.buffer.to_vec());
    CallOutcome { delivered, sends, reusable, pieces_read: pieces_read.get() }
}

/// Checks that the outcome follows the rules for delivery, retries and connection reuse.
fn check_outcome(call: &Call, outcome: &CallOutcome, read: &[ServerOutput], earlier_heads: &[bool]) {
    let context = || format!("{call:?} after {earlier_heads:?}: {outcome:?}");
    if let Some((status, received)) = &outcome.delivered {
        let is_own = call.outputs.iter().any(|output| match output {
            Success | SuccessAndClose | SuccessChunked => *status == 200,
            SealedFailure => *status == 500 && call.retry_safety == RetrySafety::AtMostOnce,
            _ => false,
        });
        let expected = if call.is_head { String::new() } else { forging_body(call.number) };
        assert!(
            is_own && received[..] == *expected.as_bytes(),
            "delivered other than the call's own answer: {}",
            context()
        );
    }
    // A single late answer before the call's own is tolerated. Two are not an accident, and nothing after them may
    // be delivered.
    let only_late = read
        .iter()
        .filter(|output| **output != Interim)
        .take(2)
        .all(|output| matches!(output, AnswerToLatest | AnswerToFirst));
    assert!(
        !(only_late && read.len() > 2 && outcome.delivered.is_some()),
        "delivered after two late answers: {}",
        context()
    );
    // A server that states that it did not execute the request is believed. Any other server that received at least
    // one byte may have executed it.
    let stated_not_executed = call.outputs.iter().any(|output| matches!(output, NotExecuted | Misdirected));
    let may_have_run = call.written != Written::Nothing && !stated_not_executed;
    if may_have_run {
        assert!(
            outcome.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_err(),
            "retry allowed although a server may have executed it: {}",
            context()
        );
        assert!(
            !outcome.sends.may_refuse(RetrySafety::AtMostOnce),
            "refusal allowed although a server may have executed it: {}",
            context()
        );
    }
    if call.written == Written::Nothing {
        assert!(
            outcome.sends.check_allowed(RetrySafety::AtMostOnce, 1).is_ok() && outcome.sends.begun() == 0,
            "{}",
            context()
        );
    }
    assert!(
        outcome.sends.check_allowed(call.retry_safety, outcome.sends.begun()).is_err(),
        "more attempts than the route allows: {}",
        context()
    );
    // A connection is reused only if the answer was read to its end and no bytes follow it.
    if let Some(buffer) = &outcome.reusable {
        let reuse_allowed = read.iter().all(|output| {
            !matches!(
                output,
                AnswerToLatest | AnswerToFirst | MissingId | InvalidBytes | Truncated | SuccessAndClose
            )
        });
        assert!(
            buffer.is_empty() && call.written == Written::Complete && reuse_allowed,
            "connection reused: {}",
            context()
        );
    }
}

/// All sequences of up to `limit` pieces of output. Answers to earlier calls occur only if there were such calls, and
/// nothing follows a truncated answer.
fn output_sequences(limit: usize, earlier_calls: usize) -> Vec<Vec<ServerOutput>> {
    let (mut sequences, mut longest) = (vec![vec![]], vec![vec![]]);
    for _ in 0..limit {
        let mut next = Vec::new();
        for sequence in
            longest.iter().filter(|sequence: &&Vec<ServerOutput>| sequence.last() != Some(&Truncated))
        {
            for output in OUTPUTS {
                let possible = match output {
                    AnswerToLatest => earlier_calls > 0,
                    AnswerToFirst => earlier_calls > 1,
                    _ => true,
                };
                if possible {
                    next.push([&sequence[..], &[output]].concat());
                }
            }
        }
        sequences.extend(next.iter().cloned());
        longest = next;
    }
    sequences
}

#[test]
fn short_output_sequences_never_cause_wrong_delivery_or_unsafe_retry() {
    let mut pending = vec![(Vec::<bool>::new(), ConnectionHistory::default())];
    let (mut visited, mut calls, mut states) = (HashSet::from([Vec::<bool>::new()]), 0_u64, 0_usize);
    while let Some((earlier_heads, history)) = pending.pop() {
        states += 1;
        let limit = if earlier_heads.len() < 2 { 3 } else { 2 };
        for outputs in output_sequences(limit, earlier_heads.len()) {
            for (is_head, retry_safety, written) in call_variants() {
                let call = Call {
                    number: earlier_heads.len(),
                    is_head,
                    retry_safety,
                    written,
                    outputs: outputs.clone(),
                };
                let separate: Vec<Vec<u8>> =
                    outputs.iter().map(|output| encode(*output, &call, &earlier_heads)).collect();
                for pieces in [&separate[..], &[separate.concat()]] {
                    let mut history = history;
                    let outcome = run_call(&call, &mut history, &[], pieces);
                    let read =
                        if pieces.len() == outputs.len() { outcome.pieces_read } else { outputs.len() };
                    check_outcome(&call, &outcome, &outputs[..read.min(outputs.len())], &earlier_heads);
                    calls += 1;
                    let next = [&earlier_heads[..], &[is_head]].concat();
                    if outcome.reusable.is_some() && next.len() < 4 && visited.insert(next.clone()) {
                        pending.push((next, history));
                    }
                }
            }
        }
    }
    println!("{calls} calls in {states} connection states");
    assert!(states == 15 && calls > 100_000, "{calls} calls in {states} connection states");
}

fn call_variants() -> impl Iterator<Item = (bool, RetrySafety, Written)> {
    let amounts = [Written::Nothing, Written::Partial, Written::Complete];
    let heads_and_safety = [false, true].into_iter().flat_map(|is_head| {
        [RetrySafety::AtMostOnce, RetrySafety::Idempotent]
            .into_iter()
            .map(move |retry_safety| (is_head, retry_safety))
    });
    heads_and_safety.flat_map(move |(is_head, retry_safety)| {
        amounts.into_iter().map(move |written| (is_head, retry_safety, written))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The outcome of a call does not depend on how its answer is split into reads. If the connection ends early, the
    /// client receives the same answer as without the early end, or none.
    #[test]
    fn outcome_is_independent_of_read_boundaries_and_safe_at_any_end(
        picks in proptest::collection::vec(0..OUTPUTS.len(), 1..4),
        earlier_heads in proptest::collection::vec(any::<bool>(), 2..4),
        is_head in any::<bool>(),
        at_most_once in any::<bool>(),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
        end in any::<prop::sample::Index>(),
    ) {
        let outputs: Vec<ServerOutput> = picks.iter().map(|pick| OUTPUTS[*pick]).collect();
        let sequence_end =
            outputs.iter().position(|output| *output == Truncated).map_or(outputs.len(), |index| index + 1);
        let retry_safety = if at_most_once { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        let outputs = outputs[..sequence_end].to_vec();
        let call = Call { number: earlier_heads.len(), is_head, retry_safety, written: Written::Complete, outputs };
        let mut history = ConnectionHistory::default();
        earlier_heads.iter().for_each(|head| history.record_request(*head));
        let separate: Vec<Vec<u8>> =
            call.outputs.iter().map(|output| encode(*output, &call, &earlier_heads)).collect();
        let stream = separate.concat();
        let boundaries: BTreeSet<usize> =
            cuts.iter().map(|cut| cut.index(stream.len() + 1)).chain([0, stream.len()]).collect();
        let boundaries: Vec<usize> = boundaries.into_iter().collect();
        let cut_pieces: Vec<Vec<u8>> =
            boundaries.windows(2).map(|pair| stream[pair[0]..pair[1]].to_vec()).collect();
        let by_output = run_call(&call, &mut history.clone(), &[], &separate);
        let by_cut = run_call(&call, &mut history.clone(), &[], &cut_pieces);
        let read = &call.outputs[..by_output.pieces_read.min(call.outputs.len())];
        check_outcome(&call, &by_output, read, &earlier_heads);
        prop_assert_eq!((&by_cut.delivered, by_cut.sends), (&by_output.delivered, by_output.sends));
        // The connection ends before the last byte.
        let truncated = stream[..end.index(stream.len().max(1))].to_vec();
        let by_early_end = run_call(&call, &mut history.clone(), &[], &[truncated]);
        if let Some(delivered) = &by_early_end.delivered {
            prop_assert_eq!(Some(delivered), by_output.delivered.as_ref());
        }
        prop_assert!(
            by_early_end.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_err()
                || by_output.sends.check_allowed(RetrySafety::AtMostOnce, 9).is_ok()
        );
    }
}

/// Progress of one attempt to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// No byte was written yet.
    Begun,
    /// The server may have received a byte.
    Exposed,
    /// Ended before a byte was written.
    Unsent,
    /// The server stated that it did not execute the request.
    NotExecuted,
    /// Cancelled in favour of another attempt before any byte of it was written.
    Cancelled,
}

/// The update of the counts that belongs to a transition of an attempt.
type CountsUpdate = fn(&mut SendCounts);

/// Explores all interleavings of up to `steps` steps of the attempts of one request. A step begins another attempt where
/// that is allowed, or advances one.
fn explore_attempts(
    counts: SendCounts,
    attempts: &[AttemptState],
    retry_safety: RetrySafety,
    limit: u32,
    steps: usize,
    visited: &mut u64,
) {
    *visited += 1;
    let count = |state| attempts.iter().filter(|attempt| **attempt == state).count() as u32;
    assert_eq!(counts.begun(), attempts.len() as u32 - count(AttemptState::Unsent), "{attempts:?}");
    assert!(counts.begun() <= limit, "more attempts than the route allows: {attempts:?}");
    if retry_safety == RetrySafety::AtMostOnce {
        assert_eq!(counts.may_refuse(retry_safety), count(AttemptState::Exposed) == 0, "{attempts:?}");
    }
    if steps == 0 {
        return;
    }
    // For a request that must not run twice, the gateway cancels an unsent attempt before it begins another one.
    if counts.check_allowed(retry_safety, limit).is_ok() {
        assert!(
            retry_safety != RetrySafety::AtMostOnce || count(AttemptState::Exposed) == 0,
            "second attempt although a server may have executed the first: {attempts:?}"
        );
        let (mut counts, mut attempts) = (counts, attempts.to_vec());
        counts.begin();
        let begun = attempts
            .iter_mut()
            .filter(|attempt| retry_safety == RetrySafety::AtMostOnce && **attempt == AttemptState::Begun);
        begun.for_each(|attempt| *attempt = AttemptState::Cancelled);
        attempts.push(AttemptState::Begun);
        explore_attempts(counts, &attempts, retry_safety, limit, steps - 1, visited);
    }
    for (index, attempt) in attempts.iter().enumerate() {
        let transitions: &[(AttemptState, CountsUpdate)] = match attempt {
            AttemptState::Begun => &[
                (AttemptState::Exposed, SendCounts::mark_exposed),
                (AttemptState::Unsent, SendCounts::cancel),
            ],
            AttemptState::Exposed => &[(AttemptState::NotExecuted, SendCounts::mark_not_executed)],
            AttemptState::Unsent | AttemptState::NotExecuted | AttemptState::Cancelled => &[],
        };
        for (next_state, update) in transitions {
            let (mut counts, mut attempts) = (counts, attempts.to_vec());
            update(&mut counts);
            attempts[index] = *next_state;
            explore_attempts(counts, &attempts, retry_safety, limit, steps - 1, visited);
        }
    }
}

#[test]
fn no_interleaving_of_attempts_exceeds_the_limit_or_runs_twice() {
    let mut visited = 0;
    for retry_safety in [RetrySafety::AtMostOnce, RetrySafety::Idempotent] {
        for limit in 1..=3 {
            explore_attempts(SendCounts::default(), &[], retry_safety, limit, 8, &mut visited);
        }
    }
    println!("{visited} combinations of attempt states");
    assert!(visited > 5_000, "{visited}");
}
