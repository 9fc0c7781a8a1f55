"""DRAIN: the directory names a gateway that has long been taken away beside one that is still running. See claim.txt."""
import asyncio, json, os, signal, sys, time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common-2'))
from rig import BOUNDS, PORTS, ROUTE, Rig, Server, call, client_headers, configuration, main, read_answer, request_bytes  # noqa: E402

GAP_S = 11.0  # between the two gateways of the region that are taken away
WORK_S = 3.0  # of the booking that the second one is answering when it is told to stop
ASK_S, END_S = 0.25, 16.0


class Slow(Server):
    async def work(self, method, path, lines, reader, writer):
        await self.body(reader, lines)
        await asyncio.sleep(WORK_S if '/slow/' in path else 0.05)
        self.answer(writer, lines)


async def booking(rig, record, edge):
    reader, writer = await asyncio.open_connection(*rig.front(edge))
    headers = {**client_headers('booking-1', 'key-of-macon', 6000), 'Host': 'homed.example'}
    record(f'client: sends a booking to {edge}')
    writer.write(request_bytes('POST', '/homed/slow/1', headers, b'x'))
    try:
        record(f'client: the booking gets {(await asyncio.wait_for(read_answer(reader), 6))[0]}')
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        record('client: the booking gets no answer')
    writer.close()


async def case(record, trouble):
    rig = Rig(record, edges=3, zones={'edge-3': 'south-1'})
    try:
        config = configuration({'macon': {'api_keys': ['key-of-macon'], 'priority': 1}}, [])
        config['routes'] = {'homed': {**ROUTE, 'hostname': 'homed.example', 'path_prefix': '/homed/', 'backend': 'ledger',
                                      'route_type': 'non_idempotent', 'home_regions': ['north']}}
        await rig.up(config, [Slow('ledger', 1), Slow('ledger', 2, 'north-2')])
        began, ended, wrong, asked, tasks = time.monotonic(), {}, 0, 0, []
        names = {'%s:%d' % rig.front(edge): edge for edge in rig.edges}
        steps = [(0.0, lambda: rig.signal('edge-1', signal.SIGTERM)),
                 (GAP_S - 0.5, lambda: tasks.append(asyncio.ensure_future(booking(rig, record, 'edge-2')))),
                 (GAP_S, lambda: rig.signal('edge-2', signal.SIGTERM))]
        if not trouble:
            steps = [step for step in steps if step[0] == GAP_S - 0.5]
        query = '/-/resolve?name=homed.example&region=north&zone=north-1'

        def look():
            for edge in rig.edges:
                if edge not in ended and rig.processes[edge].poll() is not None:
                    ended[edge] = time.monotonic()
                    record(f'platform: {edge} has ended')
        while time.monotonic() < began + END_S:
            while steps and time.monotonic() >= began + steps[0][0]:
                steps.pop(0)[1]()
            look()
            at = time.monotonic()
            status, _, body = await call(rig.ip('edge-3'), PORTS['directory'], 'GET', query, {}, b'', 1)
            look()
            asked += 1
            named = [names.get(address, address) for address in json.loads(body).get('addresses', [])] if status == 200 else []
            running = [edge for edge in named if edge not in ended]
            # The rule: one that ended over contact_s + 3 s before and has not started since, beside a running one.
            gone = [edge for edge in named if edge in ended and at > ended[edge] + BOUNDS['contact_s'] + 3]
            wrong += bool(gone and running)
            remark = f', {gone} ended {at - ended[gone[0]]:.1f} s ago, {running} running' if gone else ''
            record(f'directory of edge-3, asked for {query}: {status} {named}{remark}')
            await asyncio.sleep(max(at + ASK_S - time.monotonic(), 0))
        await asyncio.gather(*tasks)
        record(f'{wrong} of {asked} answers name a gateway that is long gone beside a running one; allowed are 3')
        return wrong <= 3
    finally:
        rig.end()

main(case, HERE)
