#!/bin/sh
# A few requests to the gateway of examples/config.json. The starter plan holds 8 units: the last lookups of
# the loop are refused with advice when to come back.
gateway=http://127.0.0.1:17070
ask() { curl -s -i -H 'X-Contract: starter' -H 'X-Client-Id: 00000000b4d65521' "$@" | grep -iE '^HTTP|^Retry-After|did|short' ; }

echo "== ready?"; curl -s "$gateway/health/ready"
echo "== a check-in, which must never run twice"
ask -X POST -d '' -H 'Request-Id: 1' -H 'Request-Timeout: 1.2' -H 'X-Metering: units=2,spread=1,first=0' "$gateway/donor-checkin/7"
echo "== a slot hold with its key"
ask -X POST -d '' -H 'Request-Id: 2' -H 'Request-Timeout: 1.5' -H 'Idempotency-Key: k1' -H 'X-Metering: units=1,spread=1,first=0' "$gateway/slot-hold/7"
echo "== twelve lookups at once"
for id in 3 4 5 6 7 8 9 10 11 12 13 14; do
  ask -H "Request-Id: $id" -H 'Request-Timeout: 2.5' -H 'X-Metering: units=1,spread=1,first=0' "$gateway/slot-lookup/$id" &
done
wait
