//! Front nodes: the project's program, started with the command of the deploy file.

use std::{
    env, fs, io,
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Program of the deploy file, and its arguments.
const PROGRAM: &str = "target/release/comfreyspread";
const ARGUMENTS: [&str; 3] = ["gateway", "--metrics-port", "9464"];
/// Name of a settings file.
const FILE: &str = "settings.conf";
/// Time within which a node is ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Where a node runs.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for consumers.
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
}

/// A running node; it is killed on drop.
#[derive(Debug)]
pub struct Node {
    /// Where it runs.
    pub place: NodePlace,
    child: Child,
    folder: PathBuf,
}

impl Node {
    /// Sends a signal, given by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other(command)) }
    }

    /// Writes the settings file anew.
    pub fn set_settings(&self, places: &[NodePlace], store: SocketAddr) -> io::Result<()> {
        fs::write(self.folder.join(FILE), settings(&self.place, &seeds(places), store))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Chooses free ports for nodes, given by their zones.
pub fn places(zones: &[&str]) -> io::Result<Vec<NodePlace>> {
    let place = |(index, zone): (usize, &&str)| {
        let number = 1 + zones[..index].iter().filter(|known| *known == zone).count();
        Ok(NodePlace {
            name: format!("front-{zone}-{number}"),
            zone: (*zone).to_owned(),
            front: free_address()?,
            ready: free_address()?,
            control: free_address()?,
        })
    };
    zones.iter().enumerate().map(place).collect()
}

/// Starts the nodes and waits until all are ready.
pub fn start(places: &[NodePlace], store: SocketAddr) -> io::Result<Vec<Node>> {
    let seeds = seeds(places);
    let nodes: io::Result<Vec<_>> =
        places.iter().map(|place| start_one(place, &seeds, store)).collect();
    let mut nodes = nodes?;
    let started = Instant::now();
    for node in &mut nodes {
        while !is_ready(node.place.ready) {
            if node.child.try_wait()?.is_some() || started.elapsed() > START_LIMIT {
                return Err(io::Error::other(format!("{} is not ready", node.place.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(nodes)
}

fn seeds(places: &[NodePlace]) -> String {
    let seeds: Vec<_> = places.iter().take(3).map(|place| place.control.to_string()).collect();
    seeds.join(",")
}

fn start_one(place: &NodePlace, seeds: &str, store: SocketAddr) -> io::Result<Node> {
    let folder = env::temp_dir().join(format!("review-3-{}-{}", std::process::id(), place.name));
    fs::create_dir_all(&folder)?;
    let file = folder.join(FILE);
    fs::write(&file, settings(place, seeds, store))?;
    let log = fs::File::create(folder.join("log"))?;
    let child = Command::new(PROGRAM)
        .args(ARGUMENTS)
        .env("COMFREYSPREAD_SETTINGS", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Node { place: place.clone(), child, folder })
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let Ok(mut writer) = stream.try_clone() else { return false };
    let headers = [("Host", "node"), ("Connection", "close")];
    if crate::http::write(&mut writer, "GET /v1/ready HTTP/1.1", &headers, b"").is_err() {
        return false;
    }
    let answer = crate::http::read(&mut io::BufReader::new(stream));
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}

/// Returns the settings of a node, as those of a small installation.
fn settings(place: &NodePlace, seeds: &str, store: SocketAddr) -> String {
    let NodePlace { name, zone, front, ready, control } = place;
    format!(
        "node_name={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\n\
         zone={zone}\nregion=antioquia\nzones.antioquia-a=antioquia\nzones.antioquia-b=antioquia\n\
         zones.cundinamarca-a=cundinamarca\nlisten.front={front}\nlisten.ready={ready}\n\
         listen.control={control}\nseeds={seeds}\nbootstrap=true\nlimits.cpu_share=0.25\n\
         limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\ndiscovery=platform\nentry=vip\n\
         heartbeat_ms=1200\nfault_tolerance.machines=2\nfault_tolerance.zones=1\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n\
         bounds.drain_ms=2500\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2500\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=6000\n\
         bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=56\n\
         bounds.cold_overshoot=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n\
         bounds.recovery_s=12\nbounds.pass_ms=250\nplatform.address={store}\nplatform.form=table\n\
         platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.tx_ms=5.0\n\
         platform.row_bytes=65536\nplatform.history_s=20\n"
    )
}
