//! SVG plot of the share of requests answered in time.

use crate::types;
use std::fmt::Write as _;

const WIDTH_PIXELS: u32 = 900;
const HEIGHT_PIXELS: u32 = 320;
const MARGIN_PIXELS: f64 = 40.0;
const PLOT_HEIGHT_PIXELS: f64 = 220.0;

/// Returns an SVG plot of the share of requests answered completely in time in each second.
pub fn draw(report: &types::ReplayReport, plan: &types::ReplayPlan) -> Box<str> {
    let x_scale =
        (f64::from(WIDTH_PIXELS) - 2.0 * MARGIN_PIXELS) / report.seconds.len().max(1) as f64;
    let mut svg = String::new();
    write!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH_PIXELS}\" height=\"{HEIGHT_PIXELS}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <text x=\"{MARGIN_PIXELS}\" y=\"16\">{} at load {}, seed {}, fault {}: answered whole in time, \
         by second due (high priority dark, all light)</text>\n",
        report.deployment,
        report.load,
        report.seed,
        report.fault.as_deref().unwrap_or("none")
    )
    .ok();
    draw_zone_outage(&mut svg, plan, x_scale);
    draw_axis(&mut svg);
    draw_line(&mut svg, report, x_scale, "#9ab", |entry| (entry.on_time, entry.requests));
    draw_line(&mut svg, report, x_scale, "#124", |entry| (entry.high_on_time, entry.high_requests));
    svg.push_str("</svg>\n");
    svg.into()
}

fn draw_zone_outage(svg: &mut String, plan: &types::ReplayPlan, x_scale: f64) {
    let x = MARGIN_PIXELS + (plan.warm + plan.before).as_secs_f64() * x_scale;
    let width = plan.out.as_secs_f64() * x_scale;
    writeln!(
        svg,
        "<rect x=\"{x:.1}\" y=\"{MARGIN_PIXELS}\" width=\"{width:.1}\" height=\"{PLOT_HEIGHT_PIXELS}\" \
         fill=\"#fde8c8\"/><text x=\"{x:.1}\" y=\"36\">{} out</text>",
        plan.zone
    )
    .ok();
}

fn draw_axis(svg: &mut String) {
    for percent in [0_u32, 25, 50, 75, 95, 100] {
        let y = share_to_y(f64::from(percent) / 100.0);
        let right = f64::from(WIDTH_PIXELS) - MARGIN_PIXELS;
        writeln!(
            svg,
            "<line x1=\"{MARGIN_PIXELS}\" y1=\"{y:.1}\" x2=\"{right}\" y2=\"{y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"4\" y=\"{:.1}\">{percent}%</text>",
            y + 4.0
        )
        .ok();
    }
}

fn draw_line(
    svg: &mut String,
    report: &types::ReplayReport,
    x_scale: f64,
    colour: &str,
    counts: impl Fn(&types::SecondReport) -> (u64, u64),
) {
    let mut points = String::new();
    for second in &report.seconds {
        let (on_time, requests) = counts(second);
        if requests > 0 {
            let x = MARGIN_PIXELS + (second.second as f64 + 0.5) * x_scale;
            let y = share_to_y(on_time as f64 / requests as f64);
            write!(points, "{x:.1},{y:.1} ").ok();
        }
    }
    writeln!(
        svg,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>"
    )
    .ok();
}

fn share_to_y(share: f64) -> f64 {
    MARGIN_PIXELS + PLOT_HEIGHT_PIXELS * (1.0 - share)
}
