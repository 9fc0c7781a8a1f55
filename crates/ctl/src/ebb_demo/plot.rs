//! The drawing: added wait of what can wait, a line for each gateway, over time; SVG written by hand.

use super::check::Crossing;
use super::record::{Log, FIRST, LAPSED};
use super::waits::{mean, Sample, SETTLED_MS};
use std::fmt::Write;

const WIDTH: f64 = 960.0;
const HEIGHT: f64 = 420.0;
const LEFT: f64 = 60.0;
const RIGHT: f64 = 110.0;
const TOP: f64 = 40.0;
const BOTTOM: f64 = 45.0;
/// Each point is the mean over so long, ms.
const BIN_MS: f64 = 500.0;
/// One colour a gateway (Okabe and Ito's, told apart by the colour-blind, and a grey).
const COLOURS: [&str; 9] =
    ["#e69f00", "#56b4e9", "#009e73", "#f0e442", "#0072b2", "#d55e00", "#cc79a7", "#000000", "#999999"];

/// Draws. `events`: when, ms, and what, to be marked.
pub fn draw(log: &Log, waits: &[Sample], crossings: &[Crossing], events: &[(f64, String)]) -> String {
    let slowed = |wait: &&Sample| wait.tenant == LAPSED && wait.rank() == FIRST;
    let bins = (log.end / BIN_MS).ceil() as usize;
    let lines: Vec<Vec<Option<f64>>> = (0..log.gateways.len())
        .map(|gateway| {
            let mut own = vec![Vec::new(); bins];
            for wait in waits.iter().filter(slowed).filter(|wait| wait.gateway == gateway) {
                if let Some(bin) = own.get_mut((wait.sent.max(0.0) / BIN_MS) as usize) {
                    bin.push(wait.added);
                }
            }
            own.into_iter().map(mean).collect()
        })
        .collect();
    let most = lines.iter().flatten().flatten().copied().fold(100.0, f64::max) * 1.1;
    let x = |at: f64| LEFT + (WIDTH - LEFT - RIGHT) * at / log.end.max(1.0);
    let y = |added: f64| HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * added.max(0.0) / most;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" font-family=\"sans-serif\" \
        font-size=\"11\">\n<rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"#ffffff\"/>\n\
        <text x=\"{LEFT}\" y=\"16\" font-size=\"13\">Added wait of what gives way first, by gateway (means of {BIN_MS:.0} ms)</text>\n"
    );
    // Writing to a string can't fail: here and below.
    for added in (0..).map(|at| f64::from(at) * 100.0).take_while(|added| *added < most) {
        let _ = writeln!(
            svg,
            "<line x1=\"{LEFT}\" x2=\"{0:.1}\" y1=\"{1:.1}\" y2=\"{1:.1}\" stroke=\"#dddddd\"/><text x=\"{2}\" y=\"{3:.1}\" \
            text-anchor=\"end\">{added:.0} ms</text>",
            WIDTH - RIGHT,
            y(added),
            LEFT - 6.0,
            y(added) + 4.0
        );
    }
    for at in (0..).map(|at| f64::from(at) * 5_000.0).take_while(|at| *at <= log.end) {
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{}\" text-anchor=\"middle\">{:.0} s</text>",
            x(at),
            HEIGHT - BOTTOM + 16.0,
            at / 1_000.0
        );
    }
    for crossing in crossings {
        let _ = writeln!(
            svg,
            "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{1:.1}\" y2=\"{2}\" stroke=\"#bbbbbb\" stroke-dasharray=\"2 3\"/>\
            <text x=\"{0:.1}\" y=\"{3}\" text-anchor=\"middle\" fill=\"#888888\">stage {4}</text>",
            x(crossing.at),
            TOP,
            HEIGHT - BOTTOM,
            HEIGHT - BOTTOM + 30.0,
            crossing.to
        );
    }
    for (turn, (at, what)) in events.iter().enumerate() {
        let _ = writeln!(
            svg,
            "<line x1=\"{0:.1}\" x2=\"{0:.1}\" y1=\"{TOP}\" y2=\"{1}\" stroke=\"#555555\"/>\
            <text x=\"{2:.1}\" y=\"{3}\">{4}</text>",
            x(*at),
            HEIGHT - BOTTOM,
            x(*at) + 3.0,
            TOP + 4.0 + 12.0 * (turn % 3) as f64,
            escaped(what)
        );
    }
    let gone = |gateway: usize, bin: usize| {
        let from = bin as f64 * BIN_MS;
        log.away(gateway, from, from + BIN_MS, SETTLED_MS)
    };
    for (gateway, line) in lines.iter().enumerate() {
        let colour = COLOURS[gateway % COLOURS.len()];
        let points = |some: &[(usize, f64)]| -> String {
            let points = some
                .iter()
                .map(|(bin, added)| format!("{:.1},{:.1}", x((*bin as f64 + 0.5) * BIN_MS), y(*added)));
            points.collect::<Vec<_>>().join(" ")
        };
        // A gateway that is away has a gap.
        let mut part: Vec<(usize, f64)> = Vec::new();
        for (bin, added) in line.iter().copied().chain([None]).enumerate() {
            match added {
                Some(added) => part.push((bin, added)),
                None if part.is_empty() || (bin < bins && !gone(gateway, bin)) => (),
                None => {
                    let _ = writeln!(
                        svg,
                        "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{}\"/>",
                        points(&part)
                    );
                    part.clear();
                }
            }
        }
        let down = TOP + 14.0 * gateway as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{0}\" y=\"{down}\" width=\"14\" height=\"4\" fill=\"{colour}\"/><text x=\"{1}\" y=\"{2}\">{3}</text>",
            WIDTH - RIGHT + 15.0,
            WIDTH - RIGHT + 34.0,
            down + 6.0,
            escaped(&log.gateways[gateway])
        );
    }
    svg + "</svg>\n"
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
