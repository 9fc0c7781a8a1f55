//! The drawing: tries of each second by what came of them, and the faults; SVG written by hand.

use super::record::{Got, Log, Try};
use std::fmt::Write;

const WIDTH: f64 = 960.0;
const HEIGHT: f64 = 340.0;
const LEFT: f64 = 50.0;
const RIGHT: f64 = 20.0;
const TOP: f64 = 60.0;
const BOTTOM: f64 = 40.0;
/// Tries that end within so long are one bar, ms.
const BIN_MS: f64 = 1_000.0;
/// Between two labels of the time, ms.
const LABEL_MS: f64 = 10_000.0;
/// Parts of a bar from the bottom, with colours that the colour-blind tell apart (Okabe and Ito's).
const PARTS: [(&str, &str); 5] = [
    ("served", "#009e73"),
    ("409, at work", "#56b4e9"),
    ("503 and other refusals", "#999999"),
    ("502, in doubt", "#e69f00"),
    ("no answer", "#000000"),
];

/// Place in [`PARTS`].
fn part(one: &Try) -> usize {
    match one.got {
        Got::Served(_) | Got::Foreign => 0,
        Got::Status(409) => 1,
        Got::Status(502 | 504) => 3,
        Got::Status(_) => 2,
        Got::Nothing => 4,
    }
}

fn bins(log: &Log) -> Vec<[u32; PARTS.len()]> {
    let mut bins = Vec::new();
    for one in &log.tries {
        let at = (one.ended.max(0.0) / BIN_MS) as usize;
        if bins.len() <= at {
            bins.resize(at + 1, [0; PARTS.len()]);
        }
        bins[at][part(one)] += 1;
    }
    bins
}

/// Draws.
pub(super) fn draw(log: &Log) -> String {
    let bins = bins(log);
    let most = bins.iter().map(|bin| bin.iter().sum::<u32>()).max().unwrap_or(0).max(1);
    let scale = (HEIGHT - TOP - BOTTOM) / f64::from(most);
    let width = (WIDTH - LEFT - RIGHT) / bins.len().max(1) as f64;
    let x = |ms: f64| LEFT + ms / BIN_MS * width;
    let floor = HEIGHT - BOTTOM;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" font-family=\"sans-serif\" \
        font-size=\"11\">\n<rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"#ffffff\"/>\n\
        <text x=\"{LEFT}\" y=\"16\" font-size=\"13\">Tries of keyed operations a second, by what came of them; lines: \
        faults, and their ends</text>\n<text x=\"{0}\" y=\"{1}\" text-anchor=\"end\">{most}</text>\n",
        LEFT - 6.0,
        TOP + 4.0
    );
    // Writing to a string can't fail: here and below.
    for (at, (name, colour)) in PARTS.iter().enumerate() {
        let left = LEFT + 170.0 * at as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{left}\" y=\"26\" width=\"10\" height=\"10\" fill=\"{colour}\"/><text x=\"{0}\" y=\"35\">{name}</text>",
            left + 15.0
        );
    }
    for (at, bin) in bins.iter().enumerate() {
        let mut top = floor;
        for (count, (_, colour)) in bin.iter().zip(PARTS).filter(|(count, _)| **count > 0) {
            let height = f64::from(*count) * scale;
            top -= height;
            let _ = writeln!(
                svg,
                "<rect x=\"{:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>",
                x(at as f64 * BIN_MS),
                width * 0.9
            );
        }
    }
    for event in &log.events {
        let _ = writeln!(
            svg,
            "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{TOP}\" y2=\"{floor}\" stroke=\"#d55e00\" stroke-dasharray=\"2 2\">\
            <title>{1:.1} s: {2}</title></line>",
            x(event.at),
            event.at / 1_000.0,
            event.what
        );
    }
    let end = bins.len() as f64 * BIN_MS;
    for at in (0..).map(|at| f64::from(at) * LABEL_MS).take_while(|at| *at <= end) {
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{:.0} s</text>",
            x(at),
            floor + 16.0,
            at / 1_000.0
        );
    }
    svg + "</svg>\n"
}
