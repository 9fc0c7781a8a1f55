//! The drawing: changes acknowledged, who leads, how many members, and versions by gateway over time, with faults as bands;
//! SVG written by hand.

use super::facts::Facts;
use super::record::{Hit, Log};
use super::report::{members, reigns};
use std::fmt::Write;

const WIDTH: f64 = 1_200.0;
const LEFT: f64 = 90.0;
const RIGHT: f64 = 30.0;
const TOP: f64 = 100.0;
/// Rows of faults' titles above the first panel, and the distance of the lowest from it.
const TITLE_ROWS: usize = 4;
/// Width of a letter of them.
const LETTER: f64 = 6.0;
const TITLE_FOOT: f64 = 24.0;
/// Height of the row of one core machine or gateway.
const ROW: f64 = 16.0;
/// Height of the panel of changes, and of that of members.
const CHANGES: f64 = 90.0;
const MEMBERS: f64 = 60.0;
/// And of that of versions.
const VERSIONS: f64 = 260.0;
/// Between two panels; the upper one's time and the lower one's title are there.
const GAP: f64 = 34.0;
/// A bar of changes, ms.
const BIN_MS: f64 = 1_000.0;
/// A gateway's line is drawn so much below the one before it.
const BESIDE: f64 = 5.0;
/// A gateway without an answer for so long has a gap, ms.
const SILENT_MS: f64 = 700.0;
/// Between two times that are written, ms.
const TICK_MS: f64 = 10_000.0;
/// One colour a machine (Okabe and Ito's, told apart by the colour-blind).
const COLOURS: [&str; 8] =
    ["#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#000000", "#f0e442"];
const CORE_BAND: &str = "#d55e00";
const GATEWAY_BAND: &str = "#0072b2";

struct Page {
    svg: String,
    end: f64,
}

impl Page {
    fn x(&self, at: f64) -> f64 {
        LEFT + (WIDTH - LEFT - RIGHT) * at.clamp(0.0, self.end) / self.end.max(1.0)
    }

    // Writing to a string can't fail: here and below.
    fn text(&mut self, x: f64, y: f64, anchor: &str, text: &str) {
        let text = text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
        let _ = writeln!(self.svg, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{text}</text>");
    }

    fn rect(&mut self, (from, until): (f64, f64), (y, height): (f64, f64), style: &str) {
        let (left, right) = (self.x(from), self.x(until));
        let width = (right - left).max(1.0);
        let _ = writeln!(
            self.svg,
            "<rect x=\"{left:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" {style}/>"
        );
    }

    fn line(&mut self, (x1, y1): (f64, f64), (x2, y2): (f64, f64), style: &str) {
        let _ =
            writeln!(self.svg, "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" {style}/>");
    }

    fn steps(&mut self, points: &[(f64, f64)], style: &str) {
        let points: String = points.iter().map(|(x, y)| format!("{x:.1},{y:.1} ")).collect();
        let _ = writeln!(self.svg, "<polyline fill=\"none\" {style} points=\"{}\"/>", points.trim_end());
    }

    /// A panel's frame, title and times; gives its top and height back.
    fn panel(&mut self, top: f64, height: f64, title: &str) -> (f64, f64) {
        let _ = writeln!(
            self.svg,
            "<text x=\"{LEFT}\" y=\"{:.1}\" font-weight=\"bold\">{title}</text>",
            top - 5.0
        );
        self.rect((0.0, self.end), (top, height), "fill=\"none\" stroke=\"#999999\"");
        let end = self.end;
        for at in (0..).map(|at| f64::from(at) * TICK_MS).take_while(|at| *at <= end) {
            let x = self.x(at);
            self.line((x, top), (x, top + height), "stroke=\"#dddddd\" stroke-width=\"0.5\"");
            self.text(x, top + height + 12.0, "middle", &format!("{:.0} s", at / 1_000.0));
        }
        (top, height)
    }

    /// Values at the left side, and lines.
    fn scale(&mut self, (top, height): (f64, f64), most: f64) {
        for part in [0.0, 0.5, 1.0] {
            let y = top + height * (1.0 - part);
            self.text(LEFT - 6.0, y + 4.0, "end", &format!("{:.0}", most * part));
        }
    }
}

/// Draws.
pub fn draw(facts: &Facts) -> String {
    let log = facts.log;
    let rows = (log.cores.len() as f64, log.gateways.len() as f64);
    let lanes = rows.0 * ROW;
    let gates = rows.1 * ROW;
    let height = TOP + CHANGES + lanes + MEMBERS + VERSIONS + gates + 5.0 * GAP;
    let head = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" font-family=\"sans-serif\" \
        font-size=\"11\">\n<rect width=\"{WIDTH}\" height=\"{height}\" fill=\"#ffffff\"/>\n"
    );
    let mut page = Page { svg: head, end: log.end };
    page.text(
        LEFT,
        16.0,
        "start",
        "Shaded: a machine of the core (orange) or a gateway (blue) is killed or frozen",
    );
    let mut top = TOP;
    let bottom = height - GAP;
    bands(&mut page, log, (top, bottom - top));
    let panel = page.panel(top, CHANGES, "Changes acknowledged a second");
    changes(&mut page, facts, panel);
    top += CHANGES + GAP;
    let panel = page.panel(top, lanes, "Core machines: away (orange), leading (green, with its term)");
    leaders(&mut page, log, panel);
    top += lanes + GAP;
    let panel = page.panel(top, MEMBERS, "Members of the core, as its leader says");
    member_steps(&mut page, log, panel);
    top += MEMBERS + GAP;
    let panel = page.panel(
        top,
        VERSIONS,
        "Versions: newest acknowledged (grey); by gateway, each a little lower than the one before, with a gap where it is silent",
    );
    versions(&mut page, facts, panel);
    top += VERSIONS + GAP;
    let panel = page.panel(top, gates, "Gateways: away (blue)");
    gateways(&mut page, log, panel);
    page.svg + "</svg>\n"
}

fn bands(page: &mut Page, log: &Log, place: (f64, f64)) {
    let mut told: Option<(f64, &str)> = None;
    for fault in &log.faults {
        let colour = if matches!(fault.hit, Hit::Core(_)) { CORE_BAND } else { GATEWAY_BAND };
        let opacity = if matches!(fault.hit, Hit::Core(_)) { 0.10 } else { 0.07 };
        // Several machines that one fault hits share a band.
        if told == Some((fault.from, &fault.what)) {
            continue;
        }
        told = Some((fault.from, &fault.what));
        let style = format!("fill=\"{colour}\" opacity=\"{opacity}\"");
        page.rect((fault.from, fault.until.min(log.end)), place, &style);
    }
    titles(page, log, place.0);
}

/// What happened to the core, each in the lowest row that is free there.
fn titles(page: &mut Page, log: &Log, top: f64) {
    let mut ends = [0.0_f64; TITLE_ROWS];
    let mut seen = f64::NEG_INFINITY;
    for fault in log.faults.iter().filter(|fault| matches!(fault.hit, Hit::Core(_))) {
        if fault.from == seen {
            continue;
        }
        seen = fault.from;
        let width = LETTER * fault.what.len() as f64;
        let x = page.x(fault.from);
        let left = x.min(WIDTH - width);
        let row = ends.iter().position(|end| *end < left).unwrap_or(TITLE_ROWS - 1);
        ends[row] = left + width;
        let y = top - TITLE_FOOT - 12.0 * row as f64;
        page.line((x, y + 2.0), (x, top), "stroke=\"#d55e00\" stroke-width=\"0.5\"");
        page.text(left, y, "start", &fault.what);
    }
}

fn changes(page: &mut Page, facts: &Facts, (top, height): (f64, f64)) {
    let bins = (page.end / BIN_MS).ceil() as usize;
    let mut counts = vec![0_usize; bins];
    for at in facts.acked.values() {
        if let Some(bin) = counts.get_mut((at.max(0.0) / BIN_MS) as usize) {
            *bin += 1;
        }
    }
    let most = counts.iter().copied().max().unwrap_or(0).max(1) as f64;
    for (bin, count) in counts.iter().enumerate().filter(|(_, count)| **count > 0) {
        let tall = height * *count as f64 / most;
        let from = bin as f64 * BIN_MS;
        page.rect((from + 60.0, from + BIN_MS - 60.0), (top + height - tall, tall), "fill=\"#444444\"");
    }
    page.scale((top, height), most);
}

/// A bar of each fault in its machine's row.
fn away(page: &mut Page, log: &Log, top: f64, row_of: impl Fn(Hit) -> Option<usize>, colour: &str) {
    for fault in &log.faults {
        if let Some(row) = row_of(fault.hit) {
            let style = format!("fill=\"{colour}\" opacity=\"0.8\"");
            let place = (top + ROW * row as f64 + 2.0, ROW - 4.0);
            page.rect((fault.from, fault.until.min(log.end)), place, &style);
        }
    }
}

fn leaders(page: &mut Page, log: &Log, (top, _): (f64, f64)) {
    for (row, name) in log.cores.iter().enumerate() {
        page.text(LEFT - 6.0, top + ROW * row as f64 + 12.0, "end", name);
    }
    let core = |hit| match hit {
        Hit::Core(at) => Some(at),
        Hit::Gateway(_) => None,
    };
    for reign in reigns(log) {
        let place = (top + ROW * reign.machine as f64 + 1.0, ROW - 2.0);
        page.rect((reign.from as f64, reign.until as f64), place, "fill=\"#009e73\" opacity=\"0.75\"");
        let x = page.x(reign.from as f64) + 3.0;
        page.text(x, place.0 + 11.0, "start", &reign.term.to_string());
    }
    away(page, log, top, core, CORE_BAND);
}

fn member_steps(page: &mut Page, log: &Log, (top, height): (f64, f64)) {
    let steps = members(log);
    let most = steps.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1) as f64;
    let y = |count: usize| top + height * (1.0 - count as f64 / (most + 1.0));
    let mut points = Vec::new();
    for (at, count) in &steps {
        let x = page.x(*at as f64);
        if let Some((_, before)) = points.last().copied() {
            points.push((x, before));
        }
        points.push((x, y(*count)));
    }
    if let Some((_, last)) = points.last().copied() {
        points.push((page.x(page.end), last));
    }
    for count in 0..=most as usize {
        page.text(LEFT - 6.0, y(count) + 4.0, "end", &count.to_string());
    }
    page.steps(&points, "stroke=\"#000000\" stroke-width=\"2\"");
}

fn versions(page: &mut Page, facts: &Facts, (top, height): (f64, f64)) {
    let acked = facts.acknowledged();
    let shown = facts.shown.iter().flatten().map(|shown| shown.version);
    let most = acked.iter().map(|(_, version)| *version).chain(shown).max().unwrap_or(1).max(1) as f64;
    let y = |version: u64| top + height * (1.0 - version as f64 / most);
    let mut newest = 0;
    let mut points = Vec::new();
    for (at, version) in &acked {
        let x = page.x(*at);
        points.push((x, y(newest)));
        newest = newest.max(*version);
        points.push((x, y(newest)));
    }
    page.steps(&points, "stroke=\"#aaaaaa\" stroke-width=\"2.5\"");
    for (gateway, shown) in facts.shown.iter().enumerate() {
        let colour = COLOURS[gateway % COLOURS.len()];
        let style = format!("stroke=\"{colour}\" stroke-width=\"1.5\"");
        let moved = BESIDE * (gateway + 1) as f64;
        // A gateway that answers nothing for a while has a gap.
        let mut points: Vec<(f64, f64)> = Vec::new();
        let mut before: Option<f64> = None;
        for one in shown {
            if before.is_some_and(|before| one.ended - before > SILENT_MS) {
                page.steps(&points, &style);
                points.clear();
            }
            before = Some(one.ended);
            let (x, level) = (page.x(one.ended), (y(one.version) + moved).min(top + height));
            points.extend(points.last().map(|(_, level)| (x, *level)));
            points.push((x, level));
        }
        page.steps(&points, &style);
        let down = top + 16.0 + 14.0 * gateway as f64;
        let left = LEFT + 12.0;
        page.line(
            (left, down - 4.0),
            (left + 16.0, down - 4.0),
            &format!("stroke=\"{colour}\" stroke-width=\"3\""),
        );
        page.text(left + 22.0, down, "start", &facts.log.gateways[gateway]);
    }
    page.scale((top, height), most);
}

fn gateways(page: &mut Page, log: &Log, (top, _): (f64, f64)) {
    for (row, name) in log.gateways.iter().enumerate() {
        page.text(LEFT - 6.0, top + ROW * row as f64 + 12.0, "end", name);
    }
    let gateway = |hit| match hit {
        Hit::Gateway(at) => Some(at),
        Hit::Core(_) => None,
    };
    away(page, log, top, gateway, GATEWAY_BAND);
}
