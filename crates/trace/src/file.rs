//! A trace file: a header, blocks, and behind them an index in three sections with a trailer that tells where they
//! are. A file that ends early has no trailer: it is read by scanning its blocks, and loses at most the last one.

use crate::block::{summarise, Builder, Head, Summary, HEAD, MAGIC};
use crate::event::Event;
use crate::number::{Put, Take};
use crate::TraceError;
use std::io::{Read, Seek, SeekFrom, Write};

/// What a trace begins with.
const FILE_MAGIC: [u8; 8] = *b"NJTRACE\n";
/// What it ends with, when it was ended in order.
const END_MAGIC: [u8; 8] = *b"NJTREND\n";
/// The version that is written; every older one is read. 2 has two more outcomes than 1.
pub const VERSION: u16 = 2;
/// Longest header and longest section of the index, bytes.
const MOST_HEADER: usize = 64 * 1024;
const MOST_SECTION: u64 = 256 * 1024 * 1024;
/// Length of the trailer: three sections of offset, length and checksum, blocks, its own checksum, magic.
const TRAILER: usize = 3 * (8 + 4 + 4) + 4 + 4 + 8;

/// What the header tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Header {
    /// The gateway's name.
    pub gateway: String,
    /// When the file was begun, Unix ms.
    pub begun_ms: f64,
    /// Further keys and values, for people.
    pub about: Vec<(String, String)>,
}

impl Header {
    fn write(&self) -> Vec<u8> {
        let mut body = Vec::new();
        body.text(&self.gateway);
        body.real(self.begun_ms);
        body.whole(self.about.len() as u64);
        for (key, value) in &self.about {
            body.text(key);
            body.text(value);
        }
        let mut bytes = FILE_MAGIC.to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&body);
        let sum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads a header, and tells how long it was.
    ///
    /// # Errors
    /// It is no trace, one of a later version, or its header is damaged.
    pub fn read(from: &mut impl Read) -> Result<(Header, u64), TraceError> {
        let mut start = [0; 14];
        from.read_exact(&mut start).map_err(|_| TraceError::Not("no trace: too short".into()))?;
        if start[..8] != FILE_MAGIC {
            return Err(TraceError::Not("no trace: it does not begin like one".into()));
        }
        let version = u16::from_le_bytes([start[8], start[9]]);
        if version == 0 || version > VERSION {
            let why = format!("a trace of version {version}; this program reads up to {VERSION}");
            return Err(TraceError::Not(why));
        }
        let length = u32::from_le_bytes([start[10], start[11], start[12], start[13]]) as usize;
        let damaged = || TraceError::Damaged(8, "the header".into());
        if length > MOST_HEADER {
            return Err(damaged());
        }
        let mut rest = vec![0; length + 4];
        from.read_exact(&mut rest).map_err(|_| damaged())?;
        let (body, sum) = rest.split_at(length);
        if crc32c::crc32c_append(crc32c::crc32c(&start), body).to_le_bytes() != sum {
            return Err(damaged());
        }
        let mut take = Take(body);
        let mut read = || -> Option<Header> {
            let (gateway, begun_ms, count) = (take.text()?.to_string(), take.real()?, take.count()?);
            let mut about = Vec::new();
            for _ in 0..count {
                about.push((take.text()?.to_string(), take.text()?.to_string()));
            }
            Some(Header { gateway, begun_ms, about })
        };
        let header = read().ok_or_else(damaged)?;
        Ok((header, (start.len() + rest.len()) as u64))
    }
}

/// Writes a trace.
#[derive(Debug)]
pub struct Writer<W: Write> {
    to: W,
    offset: u64,
    block: Builder,
    blocks: Vec<Summary>,
}

impl<W: Write> Writer<W> {
    /// Begins a trace.
    ///
    /// # Errors
    /// It can't be written.
    pub fn new(mut to: W, header: &Header) -> Result<Writer<W>, TraceError> {
        let bytes = header.write();
        to.write_all(&bytes)?;
        Ok(Writer { to, offset: bytes.len() as u64, block: Builder::default(), blocks: Vec::new() })
    }

    /// Adds an event.
    ///
    /// # Errors
    /// A full block can't be written.
    pub fn add(&mut self, time: i64, event: &Event) -> Result<(), TraceError> {
        if self.block.add(time, event) {
            self.close_block()?;
        }
        Ok(())
    }

    /// Writes what is in hand as a block, however short.
    ///
    /// # Errors
    /// It can't be written.
    pub fn close_block(&mut self) -> Result<(), TraceError> {
        if self.block.is_empty() {
            return Ok(());
        }
        let (bytes, summary) = self.block.close();
        self.add_block(&bytes, summary)
    }

    /// Adds a block that was closed elsewhere.
    ///
    /// # Errors
    /// It can't be written.
    pub fn add_block(&mut self, bytes: &[u8], summary: Summary) -> Result<(), TraceError> {
        self.to.write_all(bytes)?;
        self.blocks.push(Summary { offset: self.offset, ..summary });
        self.offset += bytes.len() as u64;
        Ok(())
    }

    /// Hands what was written on to the system.
    ///
    /// # Errors
    /// It can't be written.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        Ok(self.to.flush()?)
    }

    /// Bytes written so far.
    pub fn length(&self) -> u64 {
        self.offset
    }

    /// Writes the last block, the index and the trailer.
    ///
    /// # Errors
    /// They can't be written.
    pub fn end(mut self) -> Result<W, TraceError> {
        self.close_block()?;
        let (mut times, mut franchisees, mut ids) = (Vec::new(), Vec::new(), Vec::new());
        for block in &self.blocks {
            times.whole(block.offset);
            times.whole(u64::from(block.length));
            times.whole(u64::from(block.events));
            times.signed(block.first);
            times.signed(block.last);
            franchisees.whole(block.franchisees.len() as u64);
            let mut former = 0;
            for franchisee in &block.franchisees {
                franchisees.whole(franchisee - former);
                former = *franchisee;
            }
            ids.whole(block.ids.len() as u64);
            ids.extend_from_slice(&block.ids);
        }
        let mut trailer = Vec::with_capacity(TRAILER);
        for section in [&times, &franchisees, &ids] {
            self.to.write_all(section)?;
            trailer.extend_from_slice(&self.offset.to_le_bytes());
            trailer.extend_from_slice(&(section.len() as u32).to_le_bytes());
            trailer.extend_from_slice(&crc32c::crc32c(section).to_le_bytes());
            self.offset += section.len() as u64;
        }
        trailer.extend_from_slice(&(self.blocks.len() as u32).to_le_bytes());
        let sum = crc32c::crc32c(&trailer);
        trailer.extend_from_slice(&sum.to_le_bytes());
        trailer.extend_from_slice(&END_MAGIC);
        self.to.write_all(&trailer)?;
        self.to.flush()?;
        Ok(self.to)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Section {
    offset: u64,
    length: u64,
    sum: u32,
}

/// Reads a trace that can be sought in.
#[derive(Debug)]
pub struct Reader<R: Read + Seek> {
    from: R,
    header: Header,
    blocks: Vec<Summary>,
    sections: Option<[Section; 3]>,
    /// Bytes that were read of it.
    read: u64,
    /// What was passed over: where, and why.
    damage: Vec<TraceError>,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace: by its index, or by scanning all blocks where that is missing or damaged.
    ///
    /// # Errors
    /// It is no trace, one of a later version, or can't be read.
    pub fn open(mut from: R) -> Result<Reader<R>, TraceError> {
        let length = from.seek(SeekFrom::End(0))?;
        from.seek(SeekFrom::Start(0))?;
        let (header, start) = Header::read(&mut from)?;
        let (blocks, damage) = (Vec::new(), Vec::new());
        let mut reader = Reader { from, header, blocks, sections: None, read: start, damage };
        if !reader.by_index(start, length)? {
            reader.scan(start, length)?;
        }
        Ok(reader)
    }

    /// The header.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The blocks. Franchisees and ids are there once [`Reader::franchisees`] or [`Reader::ids`] has read them.
    pub fn blocks(&self) -> &[Summary] {
        &self.blocks
    }

    /// It was ended in order and its index could be used.
    pub fn indexed(&self) -> bool {
        self.sections.is_some()
    }

    /// Bytes that were read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read
    }

    /// What was passed over while scanning.
    pub fn damage(&self) -> &[TraceError] {
        &self.damage
    }

    fn bytes(&mut self, offset: u64, length: u64) -> Result<Vec<u8>, TraceError> {
        let mut bytes = vec![0; length as usize];
        self.from.seek(SeekFrom::Start(offset))?;
        self.from.read_exact(&mut bytes)?;
        self.read += length;
        Ok(bytes)
    }

    fn by_index(&mut self, start: u64, length: u64) -> Result<bool, TraceError> {
        if length < start + TRAILER as u64 {
            return Ok(false);
        }
        let trailer = self.bytes(length - TRAILER as u64, TRAILER as u64)?;
        let word = |at: usize| trailer[at..at + 4].try_into().map(u32::from_le_bytes).unwrap_or(0);
        let long = |at: usize| trailer[at..at + 8].try_into().map(u64::from_le_bytes).unwrap_or(0);
        let summed = TRAILER - 12;
        if trailer[TRAILER - 8..] != END_MAGIC || crc32c::crc32c(&trailer[..summed]) != word(summed) {
            return Ok(false);
        }
        let mut sections = [Section::default(); 3];
        for (at, section) in sections.iter_mut().enumerate() {
            *section = Section {
                offset: long(at * 16),
                length: u64::from(word(at * 16 + 8)),
                sum: word(at * 16 + 12),
            };
            let ends = section.offset.checked_add(section.length);
            if section.length > MOST_SECTION || ends.is_none_or(|ends| ends > length) {
                return Ok(false);
            }
        }
        let count = word(48) as usize;
        let Some(times) = self.section(sections[0])? else { return Ok(false) };
        let mut take = Take(&times);
        let mut blocks = Vec::new();
        let mut next = || -> Option<Summary> {
            Some(Summary {
                offset: take.whole()?,
                length: u32::try_from(take.whole()?).ok()?,
                events: u32::try_from(take.whole()?).ok()?,
                first: take.signed()?,
                last: take.signed()?,
                ..Summary::default()
            })
        };
        for _ in 0..count {
            // An index that names a place outside of the blocks, or one before the last, is none.
            let from = blocks.last().map_or(start, |last: &Summary| last.offset + u64::from(last.length));
            match next() {
                Some(block)
                    if block.offset >= from
                        && block.length as usize >= HEAD
                        && block
                            .offset
                            .checked_add(u64::from(block.length))
                            .is_some_and(|ends| ends <= length) =>
                {
                    blocks.push(block);
                }
                _ => return Ok(false),
            }
        }
        (self.blocks, self.sections) = (blocks, Some(sections));
        Ok(true)
    }

    fn section(&mut self, section: Section) -> Result<Option<Vec<u8>>, TraceError> {
        let bytes = self.bytes(section.offset, section.length)?;
        Ok((crc32c::crc32c(&bytes) == section.sum).then_some(bytes))
    }

    /// Reads which franchisees are in which block.
    ///
    /// # Errors
    /// That section is damaged or can't be read.
    pub fn franchisees(&mut self) -> Result<(), TraceError> {
        let Some(sections) = self.sections else { return Ok(()) };
        let damaged = || TraceError::Damaged(sections[1].offset, "the index of franchisees".into());
        let bytes = self.section(sections[1])?.ok_or_else(damaged)?;
        let mut take = Take(&bytes);
        for block in &mut self.blocks {
            let count = take.count().ok_or_else(damaged)?;
            let (mut franchisee, mut all) = (0u64, Vec::with_capacity(count));
            for _ in 0..count {
                franchisee =
                    take.whole().and_then(|step| franchisee.checked_add(step)).ok_or_else(damaged)?;
                all.push(franchisee);
            }
            block.franchisees = all;
        }
        Ok(())
    }

    /// Reads the filters over ids and keys.
    ///
    /// # Errors
    /// That section is damaged or can't be read.
    pub fn ids(&mut self) -> Result<(), TraceError> {
        let Some(sections) = self.sections else { return Ok(()) };
        let damaged = || TraceError::Damaged(sections[2].offset, "the index of ids".into());
        let bytes = self.section(sections[2])?.ok_or_else(damaged)?;
        let mut take = Take(&bytes);
        for block in &mut self.blocks {
            let length = take.count().ok_or_else(damaged)?;
            block.ids = take.bytes(length).ok_or_else(damaged)?.to_vec();
        }
        Ok(())
    }

    /// The events of a block.
    ///
    /// # Errors
    /// It is damaged or can't be read.
    pub fn events(&mut self, block: usize) -> Result<Vec<(i64, Event)>, TraceError> {
        let Some(summary) = self.blocks.get(block) else {
            return Err(TraceError::Not(format!("no block {block}")));
        };
        let (offset, length) = (summary.offset, u64::from(summary.length));
        let bytes = self.bytes(offset, length)?;
        let damaged = || TraceError::Damaged(offset, "no block begins here".into());
        let (head, packed) = bytes.split_first_chunk::<HEAD>().ok_or_else(damaged)?;
        Head::read(head).ok_or_else(damaged)?.unpack(offset, head, packed)
    }

    /// Finds the blocks without an index, and makes their summaries anew. What is damaged is passed over, up to the
    /// next place where a block begins.
    fn scan(&mut self, start: u64, length: u64) -> Result<(), TraceError> {
        let mut at = start;
        while at + HEAD as u64 <= length {
            let bytes = self.bytes(at, HEAD as u64)?;
            let head: &[u8; HEAD] = bytes.first_chunk().expect("so many were read");
            let found = match Head::read(head) {
                Some(read) if at + (HEAD + read.packed) as u64 <= length => {
                    let packed = self.bytes(at + HEAD as u64, read.packed as u64)?;
                    read.unpack(at, head, &packed).map(|events| summarise(at, &read, &events))
                }
                _ => Err(TraceError::Damaged(at, "no whole block begins here".into())),
            };
            match found {
                Ok(summary) => {
                    at += u64::from(summary.length);
                    self.blocks.push(summary);
                }
                Err(why) => {
                    self.damage.push(why);
                    match self.next_magic(at + 1, length)? {
                        Some(next) => at = next,
                        None => return Ok(()),
                    }
                }
            }
        }
        Ok(())
    }

    fn next_magic(&mut self, from: u64, length: u64) -> Result<Option<u64>, TraceError> {
        const STEP: u64 = 256 * 1024;
        let mut at = from;
        while at + 4 <= length {
            let bytes = self.bytes(at, STEP.min(length - at))?;
            if let Some(found) = bytes.windows(4).position(|four| four == MAGIC) {
                return Ok(Some(at + found as u64));
            }
            // The last three bytes may begin what the next step ends.
            at += (bytes.len() as u64).saturating_sub(3).max(1);
        }
        Ok(None)
    }
}
