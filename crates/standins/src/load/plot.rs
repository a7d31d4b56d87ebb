//! Renders a summary as an SVG plot.

use crate::load::figures::Second;
use crate::load::summary::Summary;

const PANEL_WIDTH: f64 = 900.0;
const PANEL_HEIGHT: f64 = 240.0;
const PANEL_MARGIN: f64 = 50.0;

struct Curve {
    label: &'static str,
    colour: &'static str,
    values: Vec<f64>,
}

/// Plots latencies and request counts by second, and marks the acts.
pub fn plot(summary: &Summary) -> String {
    let curve = |label, colour, value_of: fn(&Second) -> f64| Curve {
        label,
        colour,
        values: summary.seconds.iter().map(value_of).collect(),
    };
    let latency = [
        curve("p50 ms", "steelblue", |s| s.latency.p50),
        curve("p99 ms", "firebrick", |s| s.latency.p99),
    ];
    let ends = [
        curve("served/s", "seagreen", |s| s.ends.served as f64),
        curve("refused/s", "darkorange", |s| s.ends.refused as f64),
        curve("failed or lost/s", "black", |s| {
            (s.ends.failed + s.ends.lost) as f64
        }),
    ];
    let height = 2.0 * (PANEL_HEIGHT + PANEL_MARGIN) + PANEL_MARGIN;
    let width = PANEL_WIDTH + 2.0 * PANEL_MARGIN;
    let (name, target, seed) = (&summary.scenario, summary.target, summary.seed);
    let mut parts = vec![
        format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" \
             font-family=\"sans-serif\" font-size=\"12\">"
        ),
        format!("<rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>"),
        text(
            PANEL_MARGIN,
            20.0,
            &format!("{name}, {target:?}, seed {seed}"),
        ),
    ];
    parts.extend(panel(summary, &latency, PANEL_MARGIN));
    parts.extend(panel(summary, &ends, PANEL_HEIGHT + 2.0 * PANEL_MARGIN));
    parts.push("</svg>".into());
    parts.join("\n")
}

fn panel(summary: &Summary, curves: &[Curve], top: f64) -> Vec<String> {
    let values = curves.iter().flat_map(|c| &c.values);
    let max_value = values.copied().fold(1.0_f64, f64::max);
    let length_s = summary.seconds.len().max(2) as f64;
    let x = |second: f64| PANEL_MARGIN + PANEL_WIDTH * second / (length_s - 1.0);
    let y = |value: f64| top + PANEL_HEIGHT * (1.0 - value / max_value);
    let base = top + PANEL_HEIGHT;
    let end = PANEL_MARGIN + PANEL_WIDTH;
    let mut parts = vec![
        line(PANEL_MARGIN, base, end, base, "gray"),
        line(PANEL_MARGIN, top, PANEL_MARGIN, base, "gray"),
        text(2.0, top + 10.0, &format!("{max_value:.0}")),
        text(2.0, base, "0"),
        text(end - 20.0, base + 14.0, &format!("{length_s:.0} s")),
    ];
    for (at, label) in &summary.moments {
        parts.push(line(x(*at), top, x(*at), base, "silver"));
        parts.push(text(x(*at) + 3.0, top + 12.0, label));
    }
    for (n, curve) in curves.iter().enumerate() {
        let points = curve.values.iter().enumerate();
        let points = points.map(|(s, v)| format!("{:.1},{:.1}", x(s as f64), y(*v)));
        let points = points.collect::<Vec<_>>().join(" ");
        let colour = curve.colour;
        parts.push(format!(
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\"/>"
        ));
        let left = PANEL_MARGIN + 130.0 * n as f64;
        let label = text(left, base + 14.0, curve.label);
        parts.push(label.replacen("<text", &format!("<text fill=\"{colour}\""), 1));
    }
    parts
}

fn line(x1: f64, y1: f64, x2: f64, y2: f64, colour: &str) -> String {
    format!(
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"{colour}\"/>"
    )
}

fn text(x: f64, y: f64, text: &str) -> String {
    format!("<text x=\"{x:.1}\" y=\"{y:.1}\">{text}</text>")
}
