#!/usr/bin/env python3
"""Plays hostile clients against `cottonwing serve` and measures what they cost the others.

    tests/hostile/hostile_clients.py PROGRAM PICTURE FRONT [--seconds N] [--clients N] [--memory MiB] [--sockets N]

PROGRAM is the path of cottonwing, FRONT is thrift or scgi, and PICTURE is one of:

    none    no hostile client
    slow    many clients that write a request one byte at a time
    half    many clients that stop in the middle of a large request, and come again once they are turned away
    fields  many clients whose requests have very many short fields, and are never complete (SCGI) or never read (Thrift)
    small   one client that sends small requests at full speed, under ever new ids and names
    unsound one client that sends invalid requests at full speed, under ever new names
    gone    clients that write requests with much behind them, and leave without waiting

Meanwhile sound clients send a request every 50 ms on each front, on new connections and, over Thrift, also on a lasting
one. Prints one JSON object: the sound requests by what became of them, the peak of resident memory against the limit, and
the requests that the server behind got from clients that had left (`gone`). Exit code: 0 all sound requests were answered
in time, memory is within its limit and nothing was passed on for clients that had left; 1 not so; 2 wrong usage.
"""
import argparse
import asyncio
import json
import multiprocessing
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

DEADLINE_S = 2.0
SOUND_EVERY_S = 0.05
LEFT_GRACE_S = 0.05  # a request may cross the end of its connection

CONFIG = """serve "hostile" {{
    limits memory={memory}MiB sockets={sockets}
    seed 7
    thrift listen="127.0.0.1:{thrift}"
    scgi listen="127.0.0.1:{scgi}" head-at-most=8KiB body-at-most=64KiB head-within=2s body-within=10s {{
        route "/*" profile="item"
    }}
    profile "item" {{ worth 5; promised 400ms; hard-stop {deadline}ms; repeat once-only }}
    group "servers" {{ server "127.0.0.1:{server}" most=64 }}
}}
"""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---- Messages


def text(value):
    data = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(data)) + data


def thrift_frame(method, sequence, arguments, kind=1):
    content = struct.pack(">I", 0x80010000 | kind) + text(method) + struct.pack(">i", sequence) + arguments + b"\0"
    return struct.pack(">i", len(content)) + content


def thrift_request(sequence, trace, route="item", body=b"body", more=()):
    fields = [("route", route), ("trace", "%016x" % trace), ("born", str(int(time.time() * 1000))),
              ("patience", str(int(DEADLINE_S * 1000))), ("size", "2"), *more]
    arguments = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
    for name, value in fields:
        arguments += text(name) + text(value)
    return thrift_frame("serve", sequence, arguments + struct.pack(">bh", 11, 2) + text(body))


def health_check(sequence, thorough):
    return thrift_frame("isWell", sequence, struct.pack(">bhb", 2, 1, thorough))


def scgi_request(path, trace, body=b"", more=(), length=None):
    fields = [("CONTENT_LENGTH", str(len(body) if length is None else length)), ("SCGI", "1"), ("REQUEST_METHOD", "POST"),
              ("REQUEST_URI", path), ("HTTP_X_TRACE", "%016x" % trace), *more]
    head = "".join(name + "\0" + value + "\0" for name, value in fields).encode()
    return str(len(head)).encode() + b":" + head + b"," + body


def short_fields(count):
    digits = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
    return [(digits[i // 62] + digits[i % 62], "") for i in range(count)]


# ---- Hostile clients, in a process of their own


def hostile_bytes(picture, front, number):
    """What one client sends, made anew for each connection."""
    trace = 0x5BAD000000000000 + number
    if picture == "slow":
        return scgi_request("/slow", trace, b"x" * 4000) if front == "scgi" else thrift_request(1, trace, body=b"x" * 2000)
    if picture == "half":
        if front == "scgi":
            return scgi_request("/half", trace, b"x" * 60000, length=64000)
        return thrift_request(1, trace, "nothing") + struct.pack(">i", 16384) + b"x" * 16383
    if picture == "fields":
        if front == "scgi":
            return scgi_request("/fields", trace, b"x", short_fields(1990), length=64000)
        return b"".join(thrift_request(i, trace * 100 + i, "nothing", more=short_fields(1500)) for i in range(1, 8))
    raise ValueError(picture)


def connect(port):
    sock = socket.socket()
    sock.connect(("127.0.0.1", port))
    sock.setblocking(False)
    return sock


async def many_clients(picture, front, port, count, until):
    """Each sends, and comes again as soon as it is turned away."""
    loop = asyncio.get_running_loop()
    numbers = iter(range(1, 1 << 40))

    async def one():
        while time.time() < until:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", port))
                data = hostile_bytes(picture, front, next(numbers))
                if picture == "slow":
                    for i in range(len(data)):
                        await loop.sock_sendall(sock, data[i:i + 1])
                        await asyncio.sleep(0.02)
                else:
                    await loop.sock_sendall(sock, data)
                if not (picture == "fields" and front == "thrift"):
                    while await loop.sock_recv(sock, 4096):
                        pass
                else:
                    await asyncio.sleep(3)
            except OSError:
                pass
            finally:
                sock.close()
            await asyncio.sleep(0.01)

    await asyncio.wait([asyncio.ensure_future(one()) for _ in range(count)], timeout=until - time.time() + 0.2)


def flood_bytes(picture, front, number):
    name = "name-%d" % number
    trace = 0x5BAD000000000000 + number
    if front == "scgi":
        return scgi_request("/" + name, trace) if picture == "small" else scgi_request("/" + name, trace)[:-1] + b";"
    if picture == "small":
        kinds = [lambda: health_check(number, 0), lambda: health_check(number, 1),
                 lambda: thrift_frame("forget", number, struct.pack(">bhi", 8, 1, number), kind=4),
                 lambda: thrift_frame(name, number, b"", kind=4)]
        return kinds[number % len(kinds)]()
    kinds = [lambda: thrift_request(number, trace, name), lambda: thrift_frame(name, number, b""),
             lambda: thrift_request(number, trace, more=[("customer", name)])]
    return kinds[number % len(kinds)]()


def flood(picture, front, port, until):
    """One client at full speed that reads all answers. Over SCGI each request needs a connection."""
    number = 0
    while time.time() < until:
        try:
            sock = connect(port)
            sock.settimeout(0)
            pending = b""
            while time.time() < until:
                if len(pending) < 65536:
                    for _ in range(1 if front == "scgi" else 200):
                        number += 1
                        pending += flood_bytes(picture, front, number)
                try:
                    pending = pending[sock.send(pending):]
                except BlockingIOError:
                    pass
                try:
                    while True:
                        if not sock.recv(1 << 16):
                            raise ConnectionError
                except BlockingIOError:
                    pass
                if front == "scgi" and not pending:
                    break
        except OSError:
            pass
        sock.close()
    print("hostile: %d messages" % number, file=sys.stderr)


def leave_early(front, port, until, left):
    """Writes requests and much behind them, and leaves. left: the time at which each id's client had left."""
    number = 0
    while time.time() < until:
        number += 1
        trace = 0x5BAD000000000000 + 100 * number
        sock = socket.socket()
        sock.connect(("127.0.0.1", port))
        sock.settimeout(0.002)
        if front == "scgi":
            ids = [trace]
            data = scgi_request("/gone", trace) + b"y" * 400000
        else:
            ids = [trace + i for i in range(30)]
            checks = b"".join(health_check(1000 + i, 0) for i in range(2000))
            data = checks + b"".join(thrift_request(i + 1, one) for i, one in enumerate(ids))
        try:
            sock.sendall(data)
        except OSError:
            pass
        sock.close()
        now = time.time()
        for one in ids:
            left["%016x" % one] = now
        time.sleep(0.01)


def hostile_process(picture, front, port, count, until, left):
    if picture in ("slow", "half", "fields"):
        asyncio.run(many_clients(picture, front, port, count, until))
    elif picture in ("small", "unsound"):
        flood(picture, front, port, until)
    elif picture == "gone":
        leave_early(front, port, until, left)


# ---- The server behind and the sound clients


class ServerBehind:
    def __init__(self):
        self.received = {}  # times by id

    async def serve(self, reader, writer):
        try:
            size = int((await reader.readuntil(b":"))[:-1])
            head = (await reader.readexactly(size + 1))[:-1].split(b"\0")
            fields = dict(zip(head[0::2], head[1::2]))
            await reader.readexactly(int(fields[b"CONTENT_LENGTH"]))
            trace = fields[b"HTTP_X_TRACE"].decode()
            self.received.setdefault(trace, []).append(time.time())
            await asyncio.sleep(0.02)
            body = b"result of " + fields[b"HTTP_X_TRACE"]
            writer.write(b"Status: 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class SoundClients:
    def __init__(self, ports):
        self.ports = ports
        self.results = {}
        self.next_trace = 1
        self.lasting = None

    async def one(self, kind):
        trace, self.next_trace = self.next_trace, self.next_trace + 1
        try:
            outcome = await asyncio.wait_for(getattr(self, kind)(trace), DEADLINE_S + 0.13)
        except asyncio.TimeoutError:
            outcome = "late"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "lost"
        self.results.setdefault(kind, {}).setdefault(outcome, 0)
        self.results[kind][outcome] += 1

    async def scgi(self, trace):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["scgi"])
        try:
            writer.write(scgi_request("/sound", trace, b"b" * 2000))
            answer = await reader.read()
        finally:
            writer.close()
        if b"result of %016x" % trace in answer:
            return "served"
        return answer[8:11].decode() if answer else "lost"

    async def thrift_new(self, trace):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["thrift"])
        try:
            return await self.thrift_exchange(reader, writer, 1, trace)
        finally:
            writer.close()

    async def thrift_exchange(self, reader, writer, sequence, trace):
        writer.write(thrift_request(sequence, trace, body=b"b" * 2000))
        size, = struct.unpack(">i", await reader.readexactly(4))
        answer = await reader.readexactly(size)
        if b"result of %016x" % trace in answer:
            return "served"
        return "busy or failed"

    async def thrift_lasting(self, trace):
        # A connection with nothing open may be closed by the server.
        if self.lasting is None or self.lasting[0].at_eof():
            self.lasting = await asyncio.open_connection("127.0.0.1", self.ports["thrift"])
            self.sequence = 0
        connection, self.lasting = self.lasting, None
        self.sequence += 1
        outcome = await self.thrift_exchange(*connection, self.sequence, trace)
        self.lasting = connection
        return outcome

    async def play(self, until):
        tasks, lasting_task = [], None
        while time.time() < until:
            tasks += [asyncio.ensure_future(self.one(kind)) for kind in ("scgi", "thrift_new")]
            if lasting_task is None or lasting_task.done():
                lasting_task = asyncio.ensure_future(self.one("thrift_lasting"))
                tasks.append(lasting_task)
            await asyncio.sleep(SOUND_EVERY_S)
        await asyncio.wait(tasks)


def resident_peak_mib(pid):
    with open("/proc/%d/status" % pid) as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


async def play(arguments):
    ports = {name: free_port() for name in ("thrift", "scgi", "server")}
    behind = ServerBehind()
    await asyncio.start_server(behind.serve, "127.0.0.1", ports["server"])
    manager = multiprocessing.Manager()
    left = manager.dict()
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "serve.kdl")
        with open(path, "w") as file:
            file.write(CONFIG.format(memory=arguments.memory, sockets=arguments.sockets, deadline=int(DEADLINE_S * 1000),
                                     **ports))
        with open(arguments.log, "w") as log:
            program = subprocess.Popen([arguments.program, "serve", path], stdout=log, stderr=log)
            await asyncio.sleep(0.5)
            until = time.time() + arguments.seconds
            hostile = multiprocessing.Process(target=hostile_process, args=(
                arguments.picture, arguments.front, ports[arguments.front], arguments.clients, until, left))
            hostile.start()
            sound = SoundClients(ports)
            await sound.play(until)
            alive = program.poll() is None
            peak = resident_peak_mib(program.pid) if alive else None
            hostile.terminate()
            program.send_signal(signal.SIGUSR1) if alive else None
            await asyncio.sleep(0.2)
            program.terminate()
            program.wait()
    left = dict(left)
    passed_on = sum(1 for trace, when in left.items()
                    for received in behind.received.get(trace, []) if received > when + LEFT_GRACE_S)
    twice = sum(1 for times in behind.received.values() if len(times) > 1)
    return {"picture": arguments.picture, "front": arguments.front, "sound": sound.results, "alive": alive,
            "peak_mib": round(peak, 1) if alive else None, "limit_mib": arguments.memory,
            "left": len(left), "received_of_left": sum(1 for trace in left if trace in behind.received),
            "passed_on_after_leaving": passed_on, "run_twice": twice}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("program")
    parser.add_argument("picture", choices=["none", "slow", "half", "fields", "small", "unsound", "gone"])
    parser.add_argument("front", choices=["thrift", "scgi"])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--memory", type=int, default=32, help="limit of the program in MiB")
    parser.add_argument("--sockets", type=int, default=512)
    parser.add_argument("--log", default=os.devnull, help="file for the log of the program")
    arguments = parser.parse_args()
    result = asyncio.run(play(arguments))
    print(json.dumps(result))
    answered = all(set(outcomes) <= {"served"} for outcomes in result["sound"].values())
    within = result["alive"] and result["peak_mib"] <= result["limit_mib"]
    return 0 if answered and within and not result["passed_on_after_leaving"] and not result["run_twice"] else 1


if __name__ == "__main__":
    sys.exit(main())
