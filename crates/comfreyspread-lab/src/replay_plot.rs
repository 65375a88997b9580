//! Drawing of attainment over time as SVG.

use crate::types;
use std::fmt::Write as _;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 320;
const MARGIN: f64 = 40.0;
const PLOT_HEIGHT: f64 = 220.0;

/// Draws the share of requests answered whole in time over each second.
pub fn draw(report: &types::ReplayReport, plan: &types::ReplayPlan) -> Box<str> {
    let scale = (f64::from(WIDTH) - 2.0 * MARGIN) / report.seconds.len().max(1) as f64;
    let mut svg = String::new();
    write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <text x=\"{MARGIN}\" y=\"16\">{} at load {}, seed {}, fault {}: answered whole in time, \
         by second due (high priority dark, all light)</text>\n",
        report.deployment,
        report.load,
        report.seed,
        report.fault.as_deref().unwrap_or("none")
    )
    .ok();
    draw_zone(&mut svg, plan, scale);
    draw_axis(&mut svg);
    draw_line(&mut svg, report, scale, "#9ab", |entry| (entry.on_time, entry.requests));
    draw_line(&mut svg, report, scale, "#124", |entry| (entry.high_on_time, entry.high_requests));
    svg.push_str("</svg>\n");
    svg.into()
}

fn draw_zone(svg: &mut String, plan: &types::ReplayPlan, scale: f64) {
    let from = MARGIN + (plan.warm + plan.before).as_secs_f64() * scale;
    let width = plan.out.as_secs_f64() * scale;
    writeln!(
        svg,
        "<rect x=\"{from:.1}\" y=\"{MARGIN}\" width=\"{width:.1}\" height=\"{PLOT_HEIGHT}\" \
         fill=\"#fde8c8\"/><text x=\"{from:.1}\" y=\"36\">{} out</text>",
        plan.zone
    )
    .ok();
}

fn draw_axis(svg: &mut String) {
    for percent in [0_u32, 25, 50, 75, 95, 100] {
        let y = level(f64::from(percent) / 100.0);
        let end = f64::from(WIDTH) - MARGIN;
        writeln!(
            svg,
            "<line x1=\"{MARGIN}\" y1=\"{y:.1}\" x2=\"{end}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"4\" y=\"{:.1}\">{percent}%</text>",
            y + 4.0
        )
        .ok();
    }
}

fn draw_line(
    svg: &mut String,
    report: &types::ReplayReport,
    scale: f64,
    colour: &str,
    read: impl Fn(&types::SecondReport) -> (u64, u64),
) {
    let mut points = String::new();
    for second in &report.seconds {
        let (attained, requests) = read(second);
        if requests > 0 {
            let x = MARGIN + (second.second as f64 + 0.5) * scale;
            let y = level(attained as f64 / requests as f64);
            write!(points, "{x:.1},{y:.1} ").ok();
        }
    }
    writeln!(
        svg,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>"
    )
    .ok();
}

fn level(share: f64) -> f64 {
    MARGIN + PLOT_HEIGHT * (1.0 - share)
}
