//! One page of HTML that shows what came of worlds, with plots drawn into it.

use std::fmt::Write as _;

use linestack_history::HistoryEvent;
use linestack_rig::plan::Plan;
use linestack_rig::run::{Outcome as RigOutcome, Second};
use plotters::prelude::*;

use crate::play::{Played, mean};
use crate::policies::Policy;

const SIZE: (u32, u32) = (760, 300);
const COLOURS: [RGBColor; 7] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];

type Fallible<T> = Result<T, Box<dyn std::error::Error>>;

/// Lines with their names.
type Lines = Vec<(String, Vec<(f64, f64)>)>;

/// The page. The same worlds give the same bytes.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn page(title: &str, played: &[Played]) -> Fallible<String> {
    let mut policies: Vec<Policy> = Vec::new();
    for p in played {
        if !policies.contains(&p.policy) {
            policies.push(p.policy);
        }
    }
    let of = |policy: Policy| played.iter().filter(move |p| p.policy == policy);
    let goodput: Lines =
        policies.iter().map(|p| (p.name().to_owned(), by_second(&of(*p).collect::<Vec<_>>()))).collect();
    let times: Lines =
        policies.iter().map(|p| (p.name().to_owned(), quantiles(&of(*p).collect::<Vec<_>>()))).collect();
    let longest = times.iter().flat_map(|(_, l)| l.iter().map(|p| p.1)).fold(0.1, f64::max);
    let span = goodput.iter().flat_map(|(_, l)| l.iter().map(|p| p.0)).fold(1.0, f64::max);
    let mut html = head(title);
    html += "<table><tr><th>policy</th><th>worlds</th><th>score</th><th>goodput</th><th>p99, s</th>\
             <th>dismissed</th><th>aborted</th><th>probes a submission</th></tr>\n";
    for policy in &policies {
        let worlds: Vec<&Played> = of(*policy).collect();
        let ask = |f: &dyn Fn(&Played) -> f64| mean(&worlds.iter().map(|p| f(p)).collect::<Vec<_>>());
        let part = |n: u64, p: &Played| n as f64 / p.outcome.asked.max(1) as f64;
        writeln!(
            html,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{:.3}</td><td>{:.2}</td></tr>",
            policy.name(),
            worlds.len(),
            ask(&|p| p.score),
            ask(&|p| p.outcome.goodput).mean,
            ask(&|p| p.outcome.p99_s).mean,
            ask(&|p| part(p.outcome.dismissed, p)).mean,
            ask(&|p| part(p.outcome.aborted, p)).mean,
            ask(&|p| part(p.outcome.probes, p)).mean,
        )?;
    }
    html += "</table>\n<h2>Goodput over time</h2>\n";
    html += &plot(&goodput, (0.0..span, 0.0..1.05), ("seconds", "part of the worth asked for"))?;
    html += "<h2>Answer times</h2>\n";
    html += &plot(&times, (0.0..1.0, 0.0..longest), ("part of the answers", "seconds"))?;
    html += "<h2>Work by executor</h2>\n";
    for policy in &policies {
        if let Some(first) = of(*policy).next() {
            writeln!(html, "<p>{}, seed {}</p>", policy.name(), first.outcome.seed)?;
            html += &bars(&first.outcome.work_by_executor)?;
        }
    }
    html += "<h2>Rules broken</h2>\n<table><tr><th>policy</th><th>seed</th><th>rule</th><th>at, s</th><th>what</th></tr>\n";
    for p in played {
        for b in &p.outcome.breaches {
            let (name, seed, what) = (p.policy.name(), p.outcome.seed, escape(&b.what));
            writeln!(
                html,
                "<tr><td>{name}</td><td>{seed}</td><td>{:?}</td><td>{:.2}</td><td>{what}</td></tr>",
                b.rule, b.at_s
            )?;
        }
    }
    if played.iter().all(|p| p.outcome.breaches.is_empty()) {
        html += "<tr><td>none</td></tr>\n";
    }
    html += "</table></html>\n";
    Ok(html)
}

/// The page of one run of several processes: what clients saw, at which stage nodes were, and what they drew on.
///
/// # Errors
///
/// A plot could not be drawn.
pub fn fleet(plan: &Plan, outcome: &RigOutcome) -> Fallible<String> {
    let mut html = head(&plan.name);
    let span = outcome.seconds.len().max(1) as f64;
    let of = |f: &dyn Fn(&Second) -> u64| -> Vec<(f64, f64)> {
        outcome.seconds.iter().enumerate().map(|(i, s)| (i as f64, f(s) as f64)).collect()
    };
    let draw = |html: &mut String, title: &str, lines: Lines, y: &str| -> Fallible<()> {
        let most = lines.iter().flat_map(|(_, l)| l.iter().map(|p| p.1)).fold(1.0, f64::max);
        writeln!(html, "<h2>{title}</h2>")?;
        *html += &plot(&lines, (0.0..span, 0.0..most * 1.05), ("seconds", y))?;
        Ok(())
    };
    let answers: Lines = vec![
        ("satisfied".into(), of(&|s| s.satisfied)),
        ("dismissed".into(), of(&|s| s.dismissed)),
        ("aborted".into(), of(&|s| s.aborted)),
        ("not known".into(), of(&|s| s.unknown)),
        ("refused".into(), of(&|s| s.unsent)),
    ];
    draw(&mut html, "What clients were told", answers, "a second")?;
    let stages = ["version", "list", "known", "share", "full"];
    let counts = stages.map(|word| (word.to_owned(), at_stage(outcome, word)));
    draw(&mut html, "Nodes at each stage of their start", counts.to_vec(), "nodes")?;
    let shared: Lines = vec![
        ("connections to executors".into(), of(&|s| s.connects)),
        ("clients' connections".into(), of(&|s| s.connections)),
        ("sessions with coordinators".into(), of(&|s| s.sessions)),
        ("list calls".into(), of(&|s| s.list_calls)),
    ];
    draw(&mut html, "What all draw on", shared, "a second")?;
    html += "<h2>What was done</h2>\n<table><tr><th>at, s</th><th>deed</th><th>to</th></tr>\n";
    for line in &outcome.lines {
        if let HistoryEvent::Did { deed, to } = &line.what {
            let at = line.at.saturating_sub(outcome.began) as f64 / 1e9;
            writeln!(html, "<tr><td>{at:.2}</td><td>{}</td><td>{}</td></tr>", escape(deed), escape(to))?;
        }
    }
    html += "</table>\n<h2>Promises broken</h2>\n<table>\n";
    for f in &outcome.findings {
        let at = f.at.saturating_sub(outcome.began) as f64 / 1e9;
        writeln!(html, "<tr><td>{at:.2}</td><td>{:?}</td><td>{}</td></tr>", f.broken, escape(&f.why))?;
    }
    outcome
        .faults
        .iter()
        .try_for_each(|f| writeln!(html, "<tr><td>fault</td><td>{}</td></tr>", escape(f)))?;
    if outcome.sound() {
        html += "<tr><td>none</td></tr>\n";
    }
    if let Some(back) = outcome.back() {
        let after = back.after_s.map_or("not within the plan".into(), |s| format!("after {s:.1} s"));
        writeln!(html, "</table>\n<p>Full service {after}; {} first tries missed.</p><table>", back.missed)?;
    }
    html += "</table></html>\n";
    Ok(html)
}

/// How many nodes were at a stage, over time.
fn at_stage(outcome: &RigOutcome, word: &str) -> Vec<(f64, f64)> {
    let (mut at, mut points) = (std::collections::HashMap::<&str, &str>::new(), vec![(0.0, 0.0)]);
    for line in &outcome.lines {
        match &line.what {
            HistoryEvent::Stage { stage } => drop(at.insert(&line.by, stage)),
            HistoryEvent::Did { deed, to } if deed == "kill" || deed == "stop" => {
                at.remove(to.as_str());
            }
            _ => continue,
        }
        let now = (line.at.saturating_sub(outcome.began)) as f64 / 1e9;
        let count = at.values().filter(|stage| **stage == word).count() as f64;
        if let Some((_, before)) = points.last().copied() {
            points.push((now, before));
        }
        points.push((now, count));
    }
    points
}

fn head(title: &str) -> String {
    let title = escape(title);
    format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n<style>body{{font:15px/1.4 \
         sans-serif;max-width:800px;margin:2em auto}}table{{border-collapse:collapse}}td,th{{padding:2px 10px;\
         text-align:right;border-bottom:1px solid #ccc}}td:first-child,th:first-child{{text-align:left}}\
         </style>\n<h1>{title}</h1>\n"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn by_second(worlds: &[&Played]) -> Vec<(f64, f64)> {
    let seconds = worlds.iter().map(|p| p.outcome.asked_by_second.len()).max().unwrap_or(0);
    let sum = |f: &dyn Fn(&Played) -> &Vec<f64>, s: usize| -> f64 {
        worlds.iter().map(|p| f(p).get(s).copied().unwrap_or(0.0)).sum()
    };
    let point = |s: usize| {
        let asked = sum(&|p| &p.outcome.asked_by_second, s);
        (asked > 0.0).then(|| (s as f64, sum(&|p| &p.outcome.won_by_second, s) / asked))
    };
    (0..seconds).filter_map(point).collect()
}

fn quantiles(worlds: &[&Played]) -> Vec<(f64, f64)> {
    let mut all: Vec<f32> = worlds.iter().flat_map(|p| p.outcome.answer_times.iter().copied()).collect();
    all.sort_unstable_by(f32::total_cmp);
    if all.is_empty() {
        return Vec::new();
    }
    (0..=200).map(|i| (f64::from(i) / 200.0, f64::from(all[(all.len() - 1) * i as usize / 200]))).collect()
}

fn plot(
    lines: &Lines,
    (x, y): (std::ops::Range<f64>, std::ops::Range<f64>),
    (x_name, y_name): (&str, &str),
) -> Fallible<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(x, y)?;
        chart.configure_mesh().x_desc(x_name).y_desc(y_name).light_line_style(TRANSPARENT).draw()?;
        for (i, (name, line)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn bars(work: &[f64]) -> Fallible<String> {
    let most = work.iter().copied().fold(1e-9, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, 180)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..work.len().max(1) as f64, 0.0..most * 1.05)?;
        chart.configure_mesh().x_desc("executor").y_desc("seconds").light_line_style(TRANSPARENT).draw()?;
        chart.draw_series(work.iter().enumerate().map(|(i, w)| {
            Rectangle::new([(i as f64 + 0.1, 0.0), (i as f64 + 0.9, *w)], COLOURS[0].filled())
        }))?;
        area.present()?;
    }
    Ok(svg)
}
