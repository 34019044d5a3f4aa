#!/usr/bin/env bash
# The tour of README.md: a site of separate processes on loopback, in a folder of its own.
set -u
. "$(dirname "$0")/../.venv/bin/activate"
folder=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT
cd "$folder"
H=$(daleroad hash operator-secret); O=$(daleroad hash caller-secret)
for n in a b c; do
cat > control-$n.ini <<X
[node]
role = control
name = control-$n
zone = hall-$n
region = sofia
address = 127.0.0.1:$((7100 + $(printf '%d' "'$n") - 96))
data = data-$n

[control]
control-a = 127.0.0.1:7101
control-b = 127.0.0.1:7102
control-c = 127.0.0.1:7103

[secrets]
cluster_secret = a-secret-of-the-cluster
upstream_token = upstream-secret

[operators]
ivana = stoyanov $H
X
sed -e "s/role = control/role = entry/; s/name = control/name = entry/; s/address = 127.0.0.1:71/address = 127.0.0.1:72/; /^data/d; /operators/,\$d" control-$n.ini > entry-$n.ini
daleroad check control-$n.ini; daleroad check entry-$n.ini
daleroad found control-$n.ini
daleroad serve control-$n.ini 2>control-$n.log & 
daleroad serve entry-$n.ini 2>entry-$n.log &
done
daleroad standin engine narrator-1 narrator 127.0.0.1:7301 http://127.0.0.1:7201 upstream-secret narrator-v1 2>engine.log &
op() { daleroad operate --control=http://127.0.0.1:7101,http://127.0.0.1:7102,http://127.0.0.1:7103 --token=operator-secret "$@"; }
op change PutService '{"name":"narrator","partner":"stoyanov","type":"model"}'
op change PutModelVersion '{"name":"narrator-v1","partner":"stoyanov","service":"narrator"}'
op change PutOrganisation "{\"name\":\"barges\",\"partner\":\"stoyanov\",\"token_hash\":\"$O\"}"
op change PutRoute '{"name":"bulletin","partner":"stoyanov","service":"narrator","models":[{"model":"narrator-v1","weight":1}],"repeatable":true}'
sleep 2
daleroad locate http://127.0.0.1:7201
daleroad generate http://127.0.0.1:7201 caller-secret bulletin "Narrate the Danube #tokens=12"
op audit
daleroad status http://127.0.0.1:7201
