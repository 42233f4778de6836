//nolint:lll // the stored state is rendered with a line for each entry
package cluster

// The values in the directory of each member in testdata/folders, under their names in CBOR. They are literals:
// a value that is read otherwise is lost to groups that run already.

// wantVotes is what raft keeps beside its log.
const wantVotes = `term 2, voted in 2 for 127.0.0.1:36307`

// wantLog is the log: a line for each entry.
const wantLog = `1 term 1 LogConfiguration m0=127.0.0.1:39375(Voter) m1=127.0.0.1:44967(Voter) m2=127.0.0.1:36307(Voter)
2 term 2 LogNoop
3 term 2 LogCommand {Form:1 Kind:1 At:1197952 Fresh:0 Member:"m2" Life:0 Record:{Zone:"" Channel:"" Request:"" Limit:0 Digest:5410384689389861377} Asks:[] Strays:[] Moves:[] Seen:[{Epoch:0 Number:0 Age:-1} {Epoch:0 Number:0 Age:-1} {Epoch:0 Number:0 Age:-1} {Epoch:0 Number:0 Age:-1} {Epoch:0 Number:0 Age:-1} {Epoch:0 Number:0 Age:-1}] Heard:map[] ByHand:false On:false}
4 term 2 LogCommand {Form:1 Kind:2 At:1359257 Fresh:1197952 Member:"m0" Life:1 Record:{Zone:"govan" Channel:"127.0.0.1:7700" Request:"127.0.0.1:39375" Limit:0 Digest:5410384689389861377} Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
5 term 2 LogCommand {Form:1 Kind:2 At:1363120 Fresh:1197952 Member:"m1" Life:2 Record:{Zone:"partick" Channel:"127.0.0.1:7701" Request:"127.0.0.1:44967" Limit:0 Digest:5410384689389861377} Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
6 term 2 LogCommand {Form:1 Kind:2 At:1364520 Fresh:1363120 Member:"m2" Life:3 Record:{Zone:"dalmarnock" Channel:"127.0.0.1:7702" Request:"127.0.0.1:36307" Limit:0 Digest:5410384689389861377} Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
7 term 2 LogCommand {Form:1 Kind:3 At:1364564 Fresh:1359257 Member:"m0" Life:1 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
8 term 2 LogCommand {Form:1 Kind:3 At:1365706 Fresh:1364520 Member:"m2" Life:3 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
9 term 2 LogCommand {Form:1 Kind:3 At:1365737 Fresh:1363120 Member:"m1" Life:2 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
10 term 2 LogCommand {Form:1 Kind:3 At:1699460 Fresh:1365737 Member:"m0" Life:1 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
11 term 2 LogCommand {Form:1 Kind:3 At:1700852 Fresh:1699460 Member:"m2" Life:3 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
12 term 2 LogCommand {Form:1 Kind:3 At:1701724 Fresh:1699460 Member:"m1" Life:2 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
13 term 2 LogCommand {Form:1 Kind:5 At:1868760 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:0 From:"" To:"m0" Why:"with nobody"} {Part:1 From:"" To:"m0" Why:"with nobody"} {Part:2 From:"" To:"m1" Why:"with nobody"} {Part:3 From:"" To:"m1" Why:"with nobody"} {Part:4 From:"" To:"m2" Why:"with nobody"} {Part:5 From:"" To:"m2" Why:"with nobody"}] Seen:[] Heard:map[] ByHand:false On:false}
14 term 2 LogCommand {Form:1 Kind:3 At:1870038 Fresh:1868760 Member:"m2" Life:3 Record:nil Asks:[{Part:4 Number:1 Load:-1} {Part:5 Number:1 Load:-1}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
15 term 2 LogCommand {Form:1 Kind:3 At:1870955 Fresh:1868760 Member:"m1" Life:2 Record:nil Asks:[{Part:2 Number:1 Load:-1} {Part:3 Number:1 Load:-1}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
16 term 2 LogCommand {Form:1 Kind:3 At:1871066 Fresh:1868760 Member:"m0" Life:1 Record:nil Asks:[{Part:0 Number:1 Load:-1} {Part:1 Number:1 Load:-1}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
17 term 2 LogCommand {Form:1 Kind:5 At:1888490 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:0 From:"" To:"m1" Why:"moved by hand"}] Seen:[] Heard:map[] ByHand:true On:false}
18 term 2 LogCommand {Form:1 Kind:4 At:1899898 Fresh:0 Member:"m0" Life:1 Record:nil Asks:[{Part:0 Number:2 Load:0}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
19 term 2 LogCommand {Form:1 Kind:3 At:1899906 Fresh:1888490 Member:"m1" Life:2 Record:nil Asks:[{Part:0 Number:1 Load:-1} {Part:2 Number:2 Load:10} {Part:3 Number:2 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
20 term 2 LogCommand {Form:1 Kind:3 At:1913623 Fresh:1899906 Member:"m1" Life:2 Record:nil Asks:[{Part:0 Number:2 Load:10} {Part:2 Number:3 Load:10} {Part:3 Number:3 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
21 term 2 LogCommand {Form:1 Kind:5 At:1916528 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:0 From:"" To:"m2" Why:"moved by hand"}] Seen:[] Heard:map[] ByHand:true On:false}
22 term 2 LogCommand {Form:1 Kind:3 At:1918070 Fresh:1916528 Member:"m2" Life:3 Record:nil Asks:[{Part:0 Number:1 Load:-1} {Part:4 Number:2 Load:10} {Part:5 Number:2 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
23 term 2 LogCommand {Form:1 Kind:4 At:1919144 Fresh:0 Member:"m1" Life:2 Record:nil Asks:[{Part:0 Number:3 Load:0}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
24 term 2 LogCommand {Form:1 Kind:3 At:1920071 Fresh:1919144 Member:"m2" Life:3 Record:nil Asks:[{Part:0 Number:2 Load:-1} {Part:4 Number:3 Load:10} {Part:5 Number:3 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
25 term 2 LogCommand {Form:1 Kind:5 At:1952215 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:0 From:"" To:"m0" Why:"moved by hand"}] Seen:[] Heard:map[] ByHand:true On:false}
26 term 2 LogCommand {Form:1 Kind:4 At:1953212 Fresh:0 Member:"m2" Life:3 Record:nil Asks:[{Part:0 Number:3 Load:0}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
27 term 2 LogCommand {Form:1 Kind:3 At:1954070 Fresh:1952215 Member:"m0" Life:1 Record:nil Asks:[{Part:0 Number:3 Load:-1} {Part:1 Number:2 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
28 term 2 LogCommand {Form:1 Kind:3 At:1954952 Fresh:1953212 Member:"m0" Life:1 Record:nil Asks:[{Part:0 Number:4 Load:-1} {Part:1 Number:3 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
29 term 2 LogCommand {Form:1 Kind:5 At:1970201 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:3 From:"" To:"m2" Why:"moved by hand"}] Seen:[] Heard:map[] ByHand:true On:false}
30 term 2 LogCommand {Form:1 Kind:3 At:1971438 Fresh:1970201 Member:"m2" Life:3 Record:nil Asks:[{Part:3 Number:1 Load:-1} {Part:4 Number:4 Load:10} {Part:5 Number:4 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
31 term 2 LogCommand {Form:1 Kind:4 At:1972661 Fresh:0 Member:"m1" Life:2 Record:nil Asks:[{Part:3 Number:4 Load:0}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
32 term 2 LogCommand {Form:1 Kind:3 At:1973382 Fresh:1972661 Member:"m2" Life:3 Record:nil Asks:[{Part:3 Number:2 Load:-1} {Part:4 Number:5 Load:10} {Part:5 Number:5 Load:10}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}
33 term 2 LogCommand {Form:1 Kind:6 At:1977096 Fresh:0 Member:"m1" Life:0 Record:nil Asks:[] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:true On:true}
34 term 2 LogCommand {Form:1 Kind:5 At:1978290 Fresh:0 Member:"m2" Life:0 Record:nil Asks:[] Strays:[] Moves:[{Part:2 From:"m1" To:"m0" Why:"its member is leaving"}] Seen:[] Heard:map[] ByHand:false On:false}
35 term 2 LogCommand {Form:1 Kind:4 At:1990578 Fresh:0 Member:"m1" Life:2 Record:nil Asks:[{Part:2 Number:4 Load:0}] Strays:[] Moves:[] Seen:[] Heard:map[] ByHand:false On:false}`

// wantMeta is where the snapshot lies in the log, and who voted then.
const wantMeta = `index 24 term 2 m0=127.0.0.1:39375(Voter) m1=127.0.0.1:44967(Voter) m2=127.0.0.1:36307(Voter)`

// wantSnapshot is the state in the snapshot.
const wantSnapshot = `{Form:1 Digest:5410384689389861377 Span:1000000 Drift:50000 Leader:"m2" Term:2 Members:[] Parts:[] Events:[] Whys:map[] Newer:0}
member {Name:"m0" Life:1 Record:{Zone:"govan" Channel:"127.0.0.1:7700" Request:"127.0.0.1:39375" Limit:0 Digest:5410384689389861377} Heard:1871066 Leaving:false Ending:false Strays:[] Struck:false}
member {Name:"m1" Life:2 Record:{Zone:"partick" Channel:"127.0.0.1:7701" Request:"127.0.0.1:44967" Limit:0 Digest:5410384689389861377} Heard:1913623 Leaving:false Ending:false Strays:[] Struck:false}
member {Name:"m2" Life:3 Record:{Zone:"dalmarnock" Channel:"127.0.0.1:7702" Request:"127.0.0.1:36307" Limit:0 Digest:5410384689389861377} Heard:1920071 Leaving:false Ending:false Strays:[] Struck:false}
part {Number:0 Zone:"govan" Lease:{Epoch:3 Holder:{Member:3 Life:3} Number:2 Renewed:1920071} Wanted:"m2" ByHand:true Load:10 Last:"m2" Empty:true}
part {Number:1 Zone:"govan" Lease:{Epoch:1 Holder:{Member:1 Life:1} Number:1 Renewed:1871066} Wanted:"m0" ByHand:false Load:0 Last:"m0" Empty:true}
part {Number:2 Zone:"partick" Lease:{Epoch:1 Holder:{Member:2 Life:2} Number:3 Renewed:1913623} Wanted:"m1" ByHand:false Load:10 Last:"m1" Empty:false}
part {Number:3 Zone:"partick" Lease:{Epoch:1 Holder:{Member:2 Life:2} Number:3 Renewed:1913623} Wanted:"m1" ByHand:false Load:10 Last:"m1" Empty:false}
part {Number:4 Zone:"dalmarnock" Lease:{Epoch:1 Holder:{Member:3 Life:3} Number:3 Renewed:1920071} Wanted:"m2" ByHand:false Load:10 Last:"m2" Empty:false}
part {Number:5 Zone:"dalmarnock" Lease:{Epoch:1 Holder:{Member:3 Life:3} Number:3 Renewed:1920071} Wanted:"m2" ByHand:false Load:10 Last:"m2" Empty:false}
event {At:1870038 Leader:"m2" Part:4 Epoch:1 From:"" To:"m2" Planned:true Why:"with nobody"}
event {At:1870038 Leader:"m2" Part:5 Epoch:1 From:"" To:"m2" Planned:true Why:"with nobody"}
event {At:1870955 Leader:"m2" Part:2 Epoch:1 From:"" To:"m1" Planned:true Why:"with nobody"}
event {At:1870955 Leader:"m2" Part:3 Epoch:1 From:"" To:"m1" Planned:true Why:"with nobody"}
event {At:1871066 Leader:"m2" Part:0 Epoch:1 From:"" To:"m0" Planned:true Why:"with nobody"}
event {At:1871066 Leader:"m2" Part:1 Epoch:1 From:"" To:"m0" Planned:true Why:"with nobody"}
event {At:1899906 Leader:"m2" Part:0 Epoch:2 From:"m0" To:"m1" Planned:true Why:"moved by hand"}
event {At:1920071 Leader:"m2" Part:0 Epoch:3 From:"m1" To:"m2" Planned:true Why:"moved by hand"}`

// wantReplayed is the state after the log behind the snapshot.
const wantReplayed = `{Form:1 Digest:5410384689389861377 Span:1000000 Drift:50000 Leader:"m2" Term:2 Members:[] Parts:[] Events:[] Whys:map[2:"its member is leaving"] Newer:0}
member {Name:"m0" Life:1 Record:{Zone:"govan" Channel:"127.0.0.1:7700" Request:"127.0.0.1:39375" Limit:0 Digest:5410384689389861377} Heard:1954952 Leaving:false Ending:false Strays:[] Struck:false}
member {Name:"m1" Life:2 Record:{Zone:"partick" Channel:"127.0.0.1:7701" Request:"127.0.0.1:44967" Limit:0 Digest:5410384689389861377} Heard:1913623 Leaving:true Ending:false Strays:[] Struck:false}
member {Name:"m2" Life:3 Record:{Zone:"dalmarnock" Channel:"127.0.0.1:7702" Request:"127.0.0.1:36307" Limit:0 Digest:5410384689389861377} Heard:1973382 Leaving:false Ending:false Strays:[] Struck:false}
part {Number:0 Zone:"govan" Lease:{Epoch:4 Holder:{Member:1 Life:1} Number:4 Renewed:1954952} Wanted:"m0" ByHand:true Load:10 Last:"m0" Empty:true}
part {Number:1 Zone:"govan" Lease:{Epoch:1 Holder:{Member:1 Life:1} Number:3 Renewed:1954952} Wanted:"m0" ByHand:false Load:10 Last:"m0" Empty:false}
part {Number:2 Zone:"partick" Lease:{Epoch:1 Holder:{Member:0 Life:0} Number:3 Renewed:1913623} Wanted:"m0" ByHand:false Load:10 Last:"m1" Empty:false}
part {Number:3 Zone:"partick" Lease:{Epoch:2 Holder:{Member:3 Life:3} Number:2 Renewed:1973382} Wanted:"m2" ByHand:true Load:10 Last:"m2" Empty:true}
part {Number:4 Zone:"dalmarnock" Lease:{Epoch:1 Holder:{Member:3 Life:3} Number:5 Renewed:1973382} Wanted:"m2" ByHand:false Load:10 Last:"m2" Empty:false}
part {Number:5 Zone:"dalmarnock" Lease:{Epoch:1 Holder:{Member:3 Life:3} Number:5 Renewed:1973382} Wanted:"m2" ByHand:false Load:10 Last:"m2" Empty:false}
event {At:1870038 Leader:"m2" Part:4 Epoch:1 From:"" To:"m2" Planned:true Why:"with nobody"}
event {At:1870038 Leader:"m2" Part:5 Epoch:1 From:"" To:"m2" Planned:true Why:"with nobody"}
event {At:1870955 Leader:"m2" Part:2 Epoch:1 From:"" To:"m1" Planned:true Why:"with nobody"}
event {At:1870955 Leader:"m2" Part:3 Epoch:1 From:"" To:"m1" Planned:true Why:"with nobody"}
event {At:1871066 Leader:"m2" Part:0 Epoch:1 From:"" To:"m0" Planned:true Why:"with nobody"}
event {At:1871066 Leader:"m2" Part:1 Epoch:1 From:"" To:"m0" Planned:true Why:"with nobody"}
event {At:1899906 Leader:"m2" Part:0 Epoch:2 From:"m0" To:"m1" Planned:true Why:"moved by hand"}
event {At:1920071 Leader:"m2" Part:0 Epoch:3 From:"m1" To:"m2" Planned:true Why:"moved by hand"}
event {At:1954070 Leader:"m2" Part:0 Epoch:4 From:"m2" To:"m0" Planned:true Why:"moved by hand"}
event {At:1973382 Leader:"m2" Part:3 Epoch:2 From:"m1" To:"m2" Planned:true Why:"moved by hand"}`

// wantEvents and wantEpochs are of the newest state in the directories: its takeovers, and the epoch of each shard.
const wantEvents = 10

var wantEpochs = [6]uint64{4, 1, 1, 2, 1, 1}
