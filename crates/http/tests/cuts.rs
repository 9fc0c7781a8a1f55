//! Messages on one connection, cut into reads anywhere and ended anywhere: what is read is what was sent, in order, and
//! none that did not come whole.

use bytes::BytesMut;
use nickeljunction_http::stream::{
    put_chunk, put_last_chunk, put_line, put_status, read_answer_head, read_request_head, BodyReader,
};
use nickeljunction_http::{Chunk, RegionCodec, TerminalCodec};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::BTreeSet;
use tokio_util::codec::Decoder;

/// How a message tells its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ends {
    Length,
    Chunks,
    ChunksAndTrailer,
}

/// A message: an answer of a status, or a request.
#[derive(Debug, Clone)]
struct Message {
    status: u16,
    /// Preliminary answers before it.
    early: usize,
    ends: Ends,
    body: Vec<u8>,
    /// Of an answer: to `HEAD`.
    to_head: bool,
}

/// A preliminary answer.
const EARLY: &[u8] = b"HTTP/1.1 103 Early\r\nX-Id: none\r\n\r\n";

impl Message {
    fn bodiless(&self) -> bool {
        self.to_head || matches!(self.status, 204 | 304)
    }

    fn put_body(&self, to: &mut BytesMut, bodiless: bool) {
        match self.ends {
            // It speaks of a body even where there is none.
            Ends::Length => put_line(to, "Content-Length", self.body.len().to_string().as_bytes()),
            _ => put_line(to, "Transfer-Encoding", b"chunked"),
        }
        to.extend_from_slice(b"\r\n");
        match self.ends {
            _ if bodiless => {}
            Ends::Length => to.extend_from_slice(&self.body),
            ends => {
                self.body.chunks(7).for_each(|part| put_chunk(to, part));
                match ends {
                    Ends::ChunksAndTrailer => to.extend_from_slice(b"0;a=b\r\nX-Sum: 1\r\n\r\n"),
                    _ => put_last_chunk(to),
                }
            }
        }
    }

    fn answer(&self) -> BytesMut {
        let mut to = BytesMut::new();
        (0..self.early).for_each(|_| to.extend_from_slice(EARLY));
        put_status(&mut to, self.status);
        self.put_body(&mut to, self.bodiless());
        to
    }

    fn request(&self) -> BytesMut {
        let mut to = BytesMut::from("POST /a HTTP/1.1\r\nHost: h\r\n");
        self.put_body(&mut to, false);
        to
    }

    /// The body as a reader must see it.
    fn seen(&self) -> &[u8] {
        if self.bodiless() {
            &[]
        } else {
            &self.body
        }
    }
}

fn message() -> impl Strategy<Value = Message> {
    let status = prop_oneof![Just(200), Just(201), Just(204), Just(304), Just(421), Just(503)];
    let ends = prop_oneof![Just(Ends::Length), Just(Ends::Chunks), Just(Ends::ChunksAndTrailer)];
    // Bytes that look like the start of another message, too.
    let body =
        prop_oneof![vec(any::<u8>(), 0..40), Just(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())];
    (status, 0..3_usize, ends, body, any::<bool>()).prop_map(|(status, early, ends, body, to_head)| Message {
        status,
        early,
        ends,
        body,
        to_head,
    })
}

/// All bytes up to an end, in the pieces that these places cut them into.
fn pieces(all: &[u8], cuts: &[Index], end: usize) -> Vec<Vec<u8>> {
    let places: BTreeSet<usize> = cuts.iter().map(|cut| cut.index(end + 1)).chain([0, end]).collect();
    let places: Vec<usize> = places.into_iter().collect();
    places.windows(2).map(|pair| all[pair[0]..pair[1]].to_vec()).collect()
}

/// A reader of heads and bodies: bodies of the whole messages, and whether nothing is left over.
fn streamed(pieces: &[Vec<u8>], messages: &[Message], answers: bool) -> (Vec<Vec<u8>>, bool) {
    let (mut from, mut whole, mut open) = (BytesMut::new(), Vec::new(), None);
    for piece in pieces {
        from.extend_from_slice(piece);
        loop {
            if open.is_none() {
                let to_head = messages.get(whole.len()).is_some_and(|message| message.to_head);
                let framing = if answers {
                    read_answer_head(&mut from, 4096, to_head).expect("well formed").map(|head| head.framing)
                } else {
                    read_request_head(&mut from, 4096).expect("well formed").map(|head| head.framing)
                };
                let Some(framing) = framing else { break };
                open = Some((BodyReader::new(framing, 4096).expect("short"), Vec::new()));
            }
            let Some((reader, body)) = &mut open else { break };
            match reader.next(&mut from).expect("well formed") {
                Chunk::Part(part) => body.extend_from_slice(&part),
                Chunk::Incomplete => break,
                Chunk::End => {}
            }
            if reader.is_complete() {
                whole.extend(open.take().map(|(_, body)| body));
            }
        }
    }
    (whole, open.is_none() && from.is_empty())
}

/// The same of a codec, with its last word at the end.
fn decoded<C: Decoder>(
    mut codec: C,
    pieces: &[Vec<u8>],
    body: impl Fn(C::Item) -> Vec<u8>,
) -> (Vec<Vec<u8>>, bool)
where
    C::Error: std::fmt::Debug,
{
    let (mut from, mut whole) = (BytesMut::new(), Vec::new());
    for piece in pieces {
        from.extend_from_slice(piece);
        while let Some(item) = codec.decode(&mut from).expect("well formed") {
            whole.push(body(item));
        }
    }
    let ended = codec.decode_eof(&mut from);
    (whole, ended.is_ok_and(|item| item.is_none()))
}

/// How many messages come whole up to an end, and whether it is an end between two: early answers belong to none.
fn whole(lengths: &[usize], early: &[usize], end: usize) -> (usize, bool) {
    let mut at = 0;
    for (count, length) in lengths.iter().enumerate() {
        if at + length > end {
            let left = end - at;
            return (count, left.is_multiple_of(EARLY.len()) && left / EARLY.len() <= early[count]);
        }
        at += length;
    }
    (lengths.len(), true)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn answers_are_what_was_sent_in_order_and_none_that_was_cut(
        messages in vec(message(), 1..5),
        cuts in vec(any::<Index>(), 0..20),
        end in any::<Index>(),
    ) {
        let sent: Vec<BytesMut> = messages.iter().map(Message::answer).collect();
        let lengths: Vec<usize> = sent.iter().map(|bytes| bytes.len()).collect();
        let all = sent.concat();
        let early: Vec<usize> = messages.iter().map(|message| message.early).collect();
        for end in [all.len(), end.index(all.len())] {
            let (count, between) = whole(&lengths, &early, end);
            let wanted: Vec<Vec<u8>> = messages[..count].iter().map(|message| message.seen().to_vec()).collect();
            let pieces = pieces(&all, &cuts, end);
            let (bodies, clean) = streamed(&pieces, &messages, true);
            prop_assert_eq!((&bodies, clean), (&wanted, between));
            // Inner calls know no HEAD.
            if messages.iter().all(|message| !message.to_head) {
                let (bodies, clean) = decoded(RegionCodec::new(4096), &pieces, |reply| reply.body.to_vec());
                prop_assert_eq!((&bodies, clean), (&wanted, between));
            }
        }
    }

    #[test]
    fn requests_are_what_was_sent_in_order_and_none_that_was_cut(
        messages in vec(message(), 1..5),
        cuts in vec(any::<Index>(), 0..20),
        end in any::<Index>(),
    ) {
        let sent: Vec<BytesMut> = messages.iter().map(Message::request).collect();
        let lengths: Vec<usize> = sent.iter().map(|bytes| bytes.len()).collect();
        let all = sent.concat();
        let early: Vec<usize> = vec![0; messages.len()];
        for end in [all.len(), end.index(all.len())] {
            let (count, between) = whole(&lengths, &early, end);
            let wanted: Vec<Vec<u8>> = messages[..count].iter().map(|message| message.body.clone()).collect();
            let pieces = pieces(&all, &cuts, end);
            prop_assert_eq!(streamed(&pieces, &[], false), (wanted.clone(), between));
            let (bodies, _) = decoded(TerminalCodec::with_most(4096), &pieces, |request| request.body.to_vec());
            prop_assert_eq!(bodies, wanted);
        }
    }
}
