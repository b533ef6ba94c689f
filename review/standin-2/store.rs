//! Stand-in for the platform's store: keyed topics with fenced appends, reads that wait, newest records, and groups.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{Json, quote};

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// Largest number of records in a page of newest records, and its largest size in bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Partitions of a topic, which are dealt to the members of a group.
const PARTS: usize = 12;
/// Appends whose answers are kept for repeats.
const REPEATS: usize = 5;

#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Record>,
    /// Offset of the newest record of each key that has a value.
    newest: BTreeMap<String, usize>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    topics: Vec<String>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Topic {
    fn add(&mut self, record: Record) {
        if record.value.is_empty() {
            self.newest.remove(&record.key);
        } else {
            self.newest.insert(record.key.clone(), self.records.len());
        }
        self.records.push(record);
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, (seen, ttl)| seen.elapsed() < *ttl);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    /// Partitions with their members, dealt evenly.
    fn parts(&self) -> Vec<(String, usize, String)> {
        let members: Vec<&String> = self.members.keys().collect();
        let mut rows = Vec::new();
        if members.is_empty() {
            return rows;
        }
        for topic in &self.topics {
            for part in 0..PARTS {
                rows.push((topic.clone(), part, members[rows.len() % members.len()].clone()));
            }
        }
        rows
    }
}

impl Store {
    pub fn serve(&self) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(move |request| Some(store.answer(&request)))
    }

    /// Writes a record as the operator or a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = Record { key: key.to_owned(), value: value.as_bytes().to_vec() };
        self.state.0.lock().unwrap().topics.entry(topic.to_owned()).or_default().add(record);
        self.state.1.notify_all();
    }

    /// Newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        let record = state.topics.get(topic)?.records.iter().rev().find(|record| record.key == key)?;
        Some(record.value.clone())
    }

    fn answer(&self, request: &Request) -> Response {
        match request.path.as_str() {
            "/rattanfall/log-append" => self.append(request),
            "/rattanfall/log-read" => self.read(request),
            "/rattanfall/log-newest" => self.newest(request),
            "/rattanfall/log-join" => self.join(request),
            "/rattanfall/log-leave" => self.leave(request),
            "/rattanfall/log-owners" => self.owners(request),
            _ => Response::json(404, "{}".into()),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let Some(name) = request.arg::<String>("topic") else { return Response::json(400, "{}".into()) };
        if name == "keyed.op" || name == "keyed.servers" {
            return Response::json(403, "{}".into());
        }
        let Some(records) = split_records(&request.body) else { return Response::json(400, "{}".into()) };
        std::thread::sleep(APPEND_TIME);
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(name).or_default();
        let end = topic.records.len() as u64;
        let fence = request.arg::<String>("producer").zip(request.arg::<u64>("epoch")).zip(request.arg::<u64>("sequence"));
        if let Some(((producer, epoch), sequence)) = &fence {
            let known = topic.producers.entry(producer.clone()).or_default();
            if *epoch < known.epoch {
                return Response::json(409, r#"{"reason":"fenced"}"#.into());
            }
            if *epoch == known.epoch && let Some(last) = known.sequence {
                if let Some((_, offset, end)) = known.answers.iter().find(|(number, ..)| number == sequence) {
                    return Response::json(200, format!(r#"{{"offset":{offset},"end":{end}}}"#));
                }
                if *sequence != last + 1 {
                    return Response::json(409, format!(r#"{{"reason":"seq","sequence":{}}}"#, last + 1));
                }
            }
        }
        if request.arg::<u64>("at").is_some_and(|at| at != end) {
            return Response::json(412, format!(r#"{{"end":{end}}}"#));
        }
        let after = end + records.len() as u64;
        if let Some(((producer, epoch), sequence)) = fence {
            let known = topic.producers.entry(producer).or_default();
            if epoch > known.epoch {
                known.answers.clear();
            }
            known.epoch = epoch;
            known.sequence = Some(sequence);
            known.answers.push_back((sequence, end, after));
            if known.answers.len() > REPEATS {
                known.answers.pop_front();
            }
        }
        records.into_iter().for_each(|record| topic.add(record));
        self.state.1.notify_all();
        Response::json(200, format!(r#"{{"offset":{end},"end":{after}}}"#))
    }

    fn read(&self, request: &Request) -> Response {
        let name: String = request.arg("topic").unwrap_or_default();
        let from = request.arg::<usize>("from").unwrap_or(0);
        let limit = request.arg::<usize>("max_kb").unwrap_or(1_024) << 10;
        let until = Instant::now() + Duration::from_millis(request.arg("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.get(&name).map_or(&[][..], |topic| &topic.records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let length = 1 + record.key.len() + record.value.len();
                    if body.len() + 4 + length > limit {
                        break;
                    }
                    body.extend_from_slice(&(length as u32).to_be_bytes());
                    body.push(record.key.len() as u8);
                    body.extend_from_slice(record.key.as_bytes());
                    body.extend_from_slice(&record.value);
                }
                return Response { status: 200, body };
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let name: String = request.arg("topic").unwrap_or_default();
        let after: String = request.arg("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let Some(topic) = state.topics.get(&name) else {
            return Response::json(200, r#"{"items":[],"has_more":false,"end":0}"#.into());
        };
        let records = &topic.records;
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, offset) in topic.newest.range::<str, _>((Bound::Excluded(after.as_str()), Bound::Unbounded)) {
            let value = &records[*offset].value;
            let item = format!(r#"{{"key":{},"value":"{}","offset":{offset}}}"#, quote(key), base64(value));
            bytes += item.len();
            if items.len() == PAGE_RECORDS || bytes > PAGE_BYTES && !items.is_empty() {
                more = true;
                break;
            }
            items.push(item);
        }
        let body = format!(r#"{{"items":[{}],"has_more":{more},"end":{}}}"#, items.join(","), records.len());
        Response::json(200, body)
    }

    fn join(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else { return Response::json(400, "{}".into()) };
        let (Some(group), Some(member)) = (body.text("group"), body.text("member")) else {
            return Response::json(400, "{}".into());
        };
        let ttl = Duration::from_millis(body.num("ttl_ms").unwrap_or(1_000).max(1_000));
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(group.to_owned()).or_default();
        group.expire();
        if let Some(Json::List(topics)) = body.get("topics") {
            group.topics = topics.iter().filter_map(|t| if let Json::Str(t) = t { Some(t.clone()) } else { None }).collect();
        }
        if group.members.insert(member.to_owned(), (Instant::now(), ttl)).is_none() {
            group.generation += 1;
        }
        let own = group.parts().into_iter().filter(|(.., owner)| owner == member);
        let rows: Vec<String> = own.map(|(topic, part, _)| format!("[{},{part},0]", quote(&topic))).collect();
        Response::json(200, format!(r#"{{"generation":{},"parts":[{}]}}"#, group.generation, rows.join(",")))
    }

    fn leave(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body) else { return Response::json(400, "{}".into()) };
        let mut state = self.state.0.lock().unwrap();
        if let (Some(group), Some(member)) = (body.text("group"), body.text("member"))
            && let Some(group) = state.groups.get_mut(group)
            && group.members.remove(member).is_some()
        {
            group.generation += 1;
        }
        Response::json(200, "{}".into())
    }

    fn owners(&self, request: &Request) -> Response {
        let name: String = request.arg("group").unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let rows = group.parts();
        let rows: Vec<String> =
            rows.iter().map(|(topic, part, member)| format!("[{},{part},{},0]", quote(topic), quote(member))).collect();
        Response::json(200, format!(r#"{{"parts":[{}]}}"#, rows.join(",")))
    }
}

fn split_records(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let record = bytes.get(4..4 + length)?;
        let key_length = usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..1 + key_length)?.to_vec()).ok()?;
        records.push(Record { key, value: record[1 + key_length..].to_vec() });
        bytes = &bytes[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
