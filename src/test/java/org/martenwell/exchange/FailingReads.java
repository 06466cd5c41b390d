package org.martenwell.exchange;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;

/** Makes the reads of a socket fail before its user gets the bytes, as for lack of heap. */
final class FailingReads extends AbstractInspector<TcpSocket.Inspector>
        implements TcpSocket.Inspector {

    @Override
    public void onRead(TcpSocket socket, ByteBuf buffer) {
        throw new OutOfMemoryError("deliberate, within a read");
    }

    @Override
    public void onConnect(TcpSocket socket) {}

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onReadEndOfStream(TcpSocket socket) {}

    @Override
    public void onReadError(TcpSocket socket, IOException exception) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buffer, int bytes) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException exception) {}

    @Override
    public void onDisconnect(TcpSocket socket) {}
}
